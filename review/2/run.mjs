/**
 * Rule UNASKED: callers send the bodies of DELETE requests in chunks. Workers must get
 * the bodies that were sent.
 */

import {exchange} from '../lib/caller.mjs';
import {delay} from '../lib/deployment.mjs';
import {SERVICE, desiredState, requestHead} from '../lib/desiredState.mjs';
import {hasTrouble, runScenario} from '../lib/scenario.mjs';
import {Target} from '../lib/target.mjs';

const REQUESTS = 60;
const INTERVAL_MS = 50;

await runScenario(import.meta.dirname, {}, async (deployment, recorder) => {
  const routes = [
    {
      name: 'plug-release',
      pathPrefix: '/release/',
      kind: 'idempotent',
      maxAttempts: 2,
    },
  ];
  await deployment.order('PUT', '/-/config', desiredState(routes));
  const targets = deployment.spare.slice(0, 3).map(
    (ip, i) =>
      new Target(deployment, {
        ip,
        service: SERVICE,
        id: `i-${i + 1}`,
        zone: 'abc'[i],
      })
  );
  for (const target of targets) await target.start();
  await deployment.untilReady();
  await delay(1_500);

  const bodies = new Map();
  for (let i = 0; i < REQUESTS; i++) {
    const attemptId = `d${String(i).padStart(4, '0')}`;
    const body = JSON.stringify({slots: [`B-${i}`, `C-${i}`]});
    bodies.set(attemptId, body);
    const host = deployment.nodes[i % deployment.nodes.length];
    const head = requestHead('DELETE', '/release/slots', attemptId);
    const bytes = `${head}\r\nConnection: close\r\n${framed(body)}`;
    recorder.note(
      `caller sends ${attemptId} to ${host}, body of ${body.length} bytes`
    );
    const answer = await exchange({
      host,
      port: deployment.ports.callers,
      bytes,
    });
    recorder.note(
      `caller gets ${answer.status || answer.ended} for ${attemptId}`
    );
    await delay(INTERVAL_MS);
  }
  const runs = targets.flatMap(target => target.runs);
  for (const target of targets) target.stop();
  if (runs.length === 0) throw new Error('no request ran');
  return runs
    .filter(({attemptId, body}) => body.toString() !== bodies.get(attemptId))
    .map(
      ({attemptId, target, body}) =>
        `${target} ran ${attemptId} with "${body}" instead of "${bodies.get(attemptId)}"`
    );
});

function framed(body) {
  if (!hasTrouble) return `Content-Length: ${body.length}\r\n\r\n${body}`;
  const half = Math.floor(body.length / 2);
  const chunks = [body.slice(0, half), body.slice(half)]
    .map(chunk => `${chunk.length.toString(16)}\r\n${chunk}\r\n`)
    .join('');
  return `Transfer-Encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`;
}
