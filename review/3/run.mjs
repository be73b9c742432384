/**
 * Rule EVAC: a node is frozen while the operator withdraws an evacuation through it. The
 * operator withdraws it through another node and evacuates the zone again. When the node
 * wakes, the new evacuation must stay in force.
 */

import {exchange} from '../lib/caller.mjs';
import {call, delay} from '../lib/deployment.mjs';
import {SERVICE, desiredState, requestHead} from '../lib/desiredState.mjs';
import {hasTrouble, runScenario} from '../lib/scenario.mjs';
import {Target} from '../lib/target.mjs';

/** The site file freezes any one machine for as long. */
const FREEZE_MS = 4_000;
const EVACUATION_MS = 5_000;
const ANSWER_TIMEOUT_MS = 1_000;
/** Time that the second evacuation stays in force. */
const EVACUATED_MS = 20_000;
const REQUEST_INTERVAL_MS = 40;
const ZONE = 'c';
const URL = `/-/evacuations/${ZONE}`;

// The frozen node has no disk, so the three nodes of the core run all the while.
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
    const targets = deployment.spare.slice(0, 3).map(
      (ip, i) =>
        new Target(deployment, {
          ip,
          service: SERVICE,
          id: `i-${'abc'[i]}`,
          zone: 'abc'[i],
        })
    );
    for (const target of targets) await target.start();
    await deployment.untilReady();
    const core = deployment.nodes.slice(0, 3);
    const frozen = deployment.nodes[3];
    const [operatorNode] = core;

    let isSending = true;
    const pending = [];
    const sending = (async () => {
      for (let i = 0; isSending; i++) {
        pending.push(
          send(
            deployment,
            recorder,
            core[i % core.length],
            `s${String(i).padStart(5, '0')}`
          )
        );
        await delay(REQUEST_INTERVAL_MS);
      }
    })();
    await delay(3_500);

    await deployment.order('POST', URL, '', [operatorNode]);
    await delay(6_000);
    if (hasTrouble) deployment.signal(frozen, 'SIGSTOP');
    const frozenAtMs = performance.now();
    await withdraw(deployment, recorder, frozen);
    await deployment.order('DELETE', URL, '', [operatorNode]);
    await delay(1_500);
    await deployment.order('POST', URL, '', [operatorNode]);
    const acknowledgedAtMs = performance.now();
    await delay(Math.max(0, frozenAtMs + FREEZE_MS - performance.now()));
    if (hasTrouble) deployment.signal(frozen, 'SIGCONT');
    await delay(acknowledgedAtMs + EVACUATED_MS - performance.now());
    const endsAtMs = performance.now();
    isSending = false;
    await sending;
    await Promise.all(pending);
    for (const target of targets) target.stop();
    const inZone = targets.find(({zone}) => zone === ZONE);
    const earlier = inZone.runs.filter(({atMs}) => atMs < acknowledgedAtMs);
    if (earlier.length === 0)
      throw new Error(`no request ran in zone ${ZONE} before`);
    return inZone.runs
      .filter(
        ({atMs}) => atMs > acknowledgedAtMs + EVACUATION_MS && atMs < endsAtMs
      )
      .map(({attemptId, atMs}) => {
        const ms = Math.round(atMs - acknowledgedAtMs);
        return `${attemptId} reached ${inZone.id} ${ms} ms after the evacuation of its zone was acknowledged`;
      });
  }
);

/** Sends the withdrawal to this node once; without an answer, the operator moves on. */
async function withdraw(deployment, recorder, host) {
  const {control: port} = deployment.ports;
  const reply = await call({
    host,
    port,
    method: 'DELETE',
    url: URL,
    timeoutMs: ANSWER_TIMEOUT_MS,
  }).catch(err => ({status: err.message}));
  recorder.note(`operator: DELETE ${URL} at ${host}: ${reply.status}`);
}

async function send(deployment, recorder, host, attemptId) {
  const bytes = `${requestHead('GET', '/status/slot', attemptId)}\r\nConnection: close\r\n\r\n`;
  recorder.note(`caller sends ${attemptId} to ${host}`);
  const answer = await exchange({host, port: deployment.ports.callers, bytes});
  recorder.note(
    `caller gets ${answer.status || answer.ended} for ${attemptId} from ${host}`
  );
}
