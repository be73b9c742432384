/**
 * Rule MIXED: one byte of some responses of a worker is spoiled, so that they bear no proof.
 * No caller may get a success without it.
 */

import {exchange} from '../lib/caller.mjs';
import {delay} from '../lib/deployment.mjs';
import {SERVICE, desiredState, requestHead} from '../lib/desiredState.mjs';
import {hasTrouble, runScenario} from '../lib/scenario.mjs';
import {Target} from '../lib/target.mjs';

const REQUESTS = 400;
/** All requests fall into the five seconds that the site file gives spoiled answers. */
const INTERVAL_MS = 11;
/** One response in 50, of one worker in two. */
const SPOILED_EVERY = 50;

await runScenario(import.meta.dirname, {}, async (deployment, recorder) => {
  const routes = [
    {
      name: 'plug-status',
      pathPrefix: '/status/',
      kind: 'idempotent',
      maxAttempts: 2,
    },
  ];
  await deployment.order('PUT', '/-/config', desiredState(routes));
  let responses = 0;
  const [ip1, ip2] = deployment.spare;
  const sound = new Target(deployment, {
    ip: ip1,
    service: SERVICE,
    id: 'i-sound',
    zone: 'a',
  });
  const faulty = new Target(deployment, {
    ip: ip2,
    service: SERVICE,
    id: 'i-faulty',
    zone: 'b',
    respond(run, res) {
      const isSpoiled = hasTrouble && ++responses % SPOILED_EVERY === 0;
      const body = `status ${run.attemptId}`;
      const seal = isSpoiled ? 'x-response-sea1' : 'x-response-seal';
      if (isSpoiled)
        recorder.note(
          `target ${run.target} spoils its response to ${run.attemptId}`
        );
      res.writeHead(200, {
        'x-attempt-id': run.attemptId,
        [seal]: `seal-${run.target}-${run.attemptId}`,
        'content-length': body.length,
      });
      res.end(body);
    },
  });
  for (const target of [sound, faulty]) await target.start();
  await deployment.untilReady();
  await delay(1_500);

  const answers = new Map();
  const pending = [];
  for (let i = 0; i < REQUESTS; i++) {
    const attemptId = `g${String(i).padStart(4, '0')}`;
    const host = deployment.nodes[i % deployment.nodes.length];
    const bytes = `${requestHead('GET', '/status/slot', attemptId)}\r\nConnection: close\r\n\r\n`;
    recorder.note(`caller sends ${attemptId} to ${host}`);
    pending.push(
      exchange({host, port: deployment.ports.callers, bytes}).then(answer => {
        answers.set(attemptId, answer);
        const seal = hasSeal(answer) ? 'with its proof' : 'without a proof';
        recorder.note(
          `caller gets ${answer.status || answer.ended} for ${attemptId} ${seal}`
        );
      })
    );
    await delay(INTERVAL_MS);
  }
  await Promise.all(pending);
  for (const target of [sound, faulty]) target.stop();
  const successes = [...answers].filter(
    ([, {status}]) => status >= 200 && status < 300
  );
  if (successes.length < REQUESTS / 2)
    throw new Error(`only ${successes.length} requests were served`);
  return successes
    .filter(([, answer]) => !hasSeal(answer))
    .map(
      ([attemptId, {status}]) =>
        `${attemptId} got ${status} without X-Response-Seal`
    );
});

function hasSeal({head}) {
  return /^x-response-seal: *\S/im.test(head);
}
