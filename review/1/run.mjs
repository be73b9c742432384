/**
 * Rule REFUSED: one byte of some responses of a worker is spoiled, so that they are no
 * responses any more. Requests that ran must not be answered 503.
 */

import {exchange} from '../lib/caller.mjs';
import {delay} from '../lib/deployment.mjs';
import {SERVICE, desiredState, requestHead} from '../lib/desiredState.mjs';
import {hasTrouble, runScenario} from '../lib/scenario.mjs';
import {Target, sealedHeaders} from '../lib/target.mjs';

const REQUESTS = 400;
/** All requests fall into the five seconds that the site file gives spoiled answers. */
const INTERVAL_MS = 11;
/** One response in 50, of one worker in two. */
const SPOILED_EVERY = 50;
const BODY = '{"box":"MSKU4471203","slot":"B-17"}';
const PROMISES = new Set([408, 421, 429, 503]);

await runScenario(import.meta.dirname, {}, async (deployment, recorder) => {
  const routes = [
    {name: 'plug-assign', pathPrefix: '/assign/', kind: 'non_idempotent'},
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
    respond(run, res, req) {
      const isSpoiled = hasTrouble && ++responses % SPOILED_EVERY === 0;
      respond(run, res, req, isSpoiled ? '000' : '200', recorder);
    },
  });
  for (const target of [sound, faulty]) await target.start();
  await deployment.untilReady();
  await delay(1_500);

  const answers = new Map();
  const pending = [];
  for (let i = 0; i < REQUESTS; i++) {
    const attemptId = `a${String(i).padStart(4, '0')}`;
    const host = deployment.nodes[i % deployment.nodes.length];
    const head = requestHead('POST', '/assign/slot', attemptId);
    const bytes = `${head}\r\nContent-Length: ${BODY.length}\r\nConnection: close\r\n\r\n${BODY}`;
    recorder.note(`caller sends ${attemptId} to ${host}`);
    pending.push(
      exchange({host, port: deployment.ports.callers, bytes}).then(answer => {
        answers.set(attemptId, answer);
        recorder.note(
          `caller gets ${answer.status || answer.ended} for ${attemptId}`
        );
      })
    );
    await delay(INTERVAL_MS);
  }
  await Promise.all(pending);
  const runs = [...sound.runs, ...faulty.runs];
  for (const target of [sound, faulty]) target.stop();
  const good = [...answers.values()].filter(
    ({status}) => status === 200
  ).length;
  if (good < REQUESTS / 2) throw new Error(`only ${good} requests were served`);
  return runs
    .filter(({attemptId}) => PROMISES.has(answers.get(attemptId)?.status))
    .map(({attemptId, target}) => {
      const {status, body} = answers.get(attemptId);
      return `${attemptId} ran at ${target} and was answered ${status} ${body.trim()}`;
    });
});

function respond(run, res, {socket}, status, recorder) {
  const body = `assigned ${run.attemptId}`;
  const headers = Object.entries(sealedHeaders(run, {id: run.target}, body));
  const lines = headers
    .map(([name, value]) => `${name}: ${value}\r\n`)
    .join('');
  if (status !== '200')
    recorder.note(
      `target ${run.target} spoils its response to ${run.attemptId}`
    );
  socket.end(
    `HTTP/1.1 ${status} OK\r\n${lines}Connection: close\r\n\r\n${body}`
  );
}
