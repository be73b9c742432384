/**
 * Rule DRAIN: a worker leaves, and the process that acknowledged it is killed at once; it
 * led. No node that is in touch may send to the worker once `drainMs` have passed.
 */

import {exchange} from '../lib/caller.mjs';
import {call, delay} from '../lib/deployment.mjs';
import {SERVICE, desiredState, requestHead} from '../lib/desiredState.mjs';
import {hasTrouble, runScenario} from '../lib/scenario.mjs';
import {Target, sealedHeaders} from '../lib/target.mjs';

const DRAIN_MS = 2_000;
const CONTACT_MS = 3_000;
/** The platform restarts a process that was killed after a short delay. */
const RESTART_MS = 500;
/** The worker serves for `DRAIN_MS` after the acknowledgement and some seconds more. */
const SERVES_ON_MS = 8_000;
const REQUEST_INTERVAL_MS = 25;

await runScenario(
  import.meta.dirname,
  {nodes: 4, disks: 3},
  async (deployment, recorder) => {
    const routes = [
      {
        name: 'plug-status',
        pathPrefix: '/status/',
        kind: 'idempotent',
        maxAttempts: 2,
      },
    ];
    await deployment.order('PUT', '/-/config', desiredState(routes));
    let isLeaving = false;
    const respond = (run, res) => {
      const body = `status ${run.attemptId}`;
      const connection =
        isLeaving && run.target === 'i-leaving' ? {connection: 'close'} : {};
      res.writeHead(200, {
        ...sealedHeaders(run, {id: run.target}, body),
        ...connection,
      });
      res.end(body);
    };
    const ids = ['i-stays-1', 'i-stays-2', 'i-leaving'];
    const targets = ids.map(
      (id, i) =>
        new Target(deployment, {
          ip: deployment.spare[i],
          service: SERVICE,
          id,
          zone: 'abc'[i],
          respond,
        })
    );
    for (const target of targets) await target.start();
    await deployment.untilReady();
    const leaving = targets[2];

    let isSending = true;
    const pending = [];
    const sentBy = new Map();
    let callers = [...deployment.nodes];
    const sending = (async () => {
      for (let i = 0; isSending; i++) {
        const host = callers[i % callers.length];
        const attemptId = `s${String(i).padStart(5, '0')}`;
        sentBy.set(attemptId, {host, atMs: performance.now()});
        pending.push(send(deployment, recorder, host, attemptId));
        await delay(REQUEST_INTERVAL_MS);
      }
    })();
    await delay(CONTACT_MS + 3_000);
    const leader = await deployment.leader();
    if (leader === undefined) throw new Error('no node leads');
    recorder.note(`node ${leader} leads`);
    callers = deployment.nodes.filter(ip => ip !== leader);

    leaving.stopCheckIns();
    isLeaving = true;
    recorder.note(`target ${leaving.id} sends DELETE to ${leader}`);
    const reply = await call({
      host: leader,
      port: deployment.ports.control,
      method: 'DELETE',
      url: `/-/instances/${leaving.id}`,
    });
    const acknowledgedAtMs = performance.now();
    if (reply.status !== 200)
      throw new Error(`the departure got ${reply.status}`);
    recorder.note(`node ${leader} acknowledged that ${leaving.id} leaves`);
    if (hasTrouble) await deployment.kill(leader);
    await delay(RESTART_MS);
    if (hasTrouble) deployment.startNode(leader);
    const stableAtMs = performance.now() + CONTACT_MS;
    await delay(acknowledgedAtMs + SERVES_ON_MS - performance.now());
    isSending = false;
    await sending;
    await Promise.all(pending);
    for (const target of targets) target.stop();
    // Excuses: the time to drain, and the time in which the core wasn't stable.
    const judgedFromMs = hasTrouble
      ? Math.max(acknowledgedAtMs + DRAIN_MS, stableAtMs)
      : acknowledgedAtMs + DRAIN_MS;
    if (!leaving.runs.some(({atMs}) => atMs < acknowledgedAtMs))
      throw new Error('the worker got no request before it left');
    return leaving.runs
      .filter(
        ({attemptId, atMs}) =>
          atMs > judgedFromMs && sentBy.get(attemptId).atMs > judgedFromMs
      )
      .map(({attemptId, atMs}) => {
        const ms = Math.round(atMs - acknowledgedAtMs);
        const {host} = sentBy.get(attemptId);
        return `${attemptId} reached ${leaving.id} from ${host} ${ms} ms after the acknowledgement`;
      });
  }
);

async function send(deployment, recorder, host, attemptId) {
  const bytes = `${requestHead('GET', '/status/slot', attemptId)}\r\nConnection: close\r\n\r\n`;
  recorder.note(`caller sends ${attemptId} to ${host}`);
  const answer = await exchange({host, port: deployment.ports.callers, bytes});
  recorder.note(
    `caller gets ${answer.status || answer.ended} for ${attemptId} from ${host}`
  );
}
