/** An order that was held up on its way undoes a later one that was acknowledged. */

import net from 'node:net';
import {call, order, sleep} from '../lib-2/calls.mjs';
import {Nodes} from '../lib-2/nodes.mjs';
import {runCase} from '../lib-2/record.mjs';
import {Worker} from '../lib-2/worker.mjs';

const HOST = 'ficu95.example';
const SERVICE = 'wuno96b';
const EVACUATED = 'zone-b';
const PATH = `/-/evacuations/${EVACUATED}`;
const EVACUATION_MS = 5000;
/** How long the link of the operator holds up what it sends. */
const HELD_UP_MS = 2000;

const DOCUMENT = JSON.stringify({
  version: 1,
  routes: [
    {
      name: 'r-1',
      host: HOST,
      pathPrefix: '/rapu33/',
      kind: 'idempotent',
      timeoutMs: 1500,
      targetLatencyMs: 100,
      priority: 1,
      service: SERVICE,
      maxAttempts: 2,
      authExempt: true,
    },
  ],
  services: [
    {name: SERVICE, healthPath: '/health', maxConnections: 120, protocol: 'h1'},
  ],
  limits: {
    maxHeaderBytes: 16384,
    maxBodyBytes: 4194304,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15000,
  },
  tenants: [],
});

/**
 * Passes connections on. What a client sends is held up until the link is whole again,
 * `heldUpMs` after its first bytes; then all of it arrives in order, its end included.
 */
function startLink(ip, target, heldUpMs) {
  const server = net.createServer({allowHalfOpen: true}, client => {
    const peer = net.connect({...target, allowHalfOpen: true});
    let heldUp = heldUpMs > 0 ? [] : undefined;
    const pass = run => (heldUp === undefined ? run() : heldUp.push(run));
    client.once('data', () =>
      setTimeout(() => {
        const runs = heldUp ?? [];
        heldUp = undefined;
        for (const run of runs) run();
      }, heldUpMs)
    );
    client.on('error', () => undefined);
    peer.on('error', () => undefined);
    client.on('data', data => pass(() => peer.write(data)));
    client.on('end', () => pass(() => peer.end()));
    peer.on('data', data => client.writable && client.write(data));
    peer.on('end', () => client.end());
  });
  return new Promise(resolve =>
    server.listen(0, ip, () => resolve({server, port: server.address().port}))
  );
}

await runCase(import.meta.dirname, async (record, hasTrouble) => {
  const nodes = await Nodes.create([
    {zone: 'zone-a', hasDisk: true},
    {zone: 'zone-b', hasDisk: true},
    {zone: 'zone-c', hasDisk: true},
    {zone: 'zone-a', hasDisk: false},
  ]);
  const controls = nodes.ips.map(ip => ({ip, port: nodes.ports.control}));
  const runs = [];
  const workers = ['a', 'b', 'c'].map(
    (zone, i) =>
      new Worker({
        id: `i-${zone}`,
        service: SERVICE,
        zone: `zone-${zone}`,
        ip: `${nodes.subnet}.${20 + i}`,
        controls,
        onRun: run => runs.push(run),
      })
  );
  let link;
  let isOver = false;
  try {
    nodes.startAll();
    await order(record, controls, 'PUT', '/-/config', DOCUMENT);
    for (const worker of workers) await worker.start();
    await sleep(1500);
    const {leader} = nodes;
    record(`the leader is ${leader}`);
    const others = controls.filter(({ip}) => ip !== leader);
    link = await startLink(
      `${nodes.subnet}.30`,
      {host: leader, port: nodes.ports.control},
      hasTrouble ? HELD_UP_MS : 0
    );
    let sent = 0;
    const answers = new Map();
    const traffic = (async () => {
      for (let n = 0; !isOver; n++) {
        const ip = nodes.ips[n % nodes.ips.length];
        const attempt = `attempt-${++sent}`;
        void call({
          ip,
          port: nodes.ports.front,
          method: 'GET',
          path: '/rapu33/status',
          headers: {
            host: HOST,
            'x-attempt-id': attempt,
            'x-deadline-remaining': '1500',
          },
          ms: 1500,
        }).then(({status}) =>
          answers.set(status, (answers.get(status) ?? 0) + 1)
        );
        await sleep(20);
      }
    })();
    await sleep(500);
    await order(record, others, 'POST', PATH);
    await sleep(1000);
    record('the operator takes the zone back, over the link to the leader');
    const viaLink = {ip: `${nodes.subnet}.30`, port: link.port};
    await order(record, [viaLink, ...others], 'DELETE', PATH);
    await sleep(300);
    const ackedAtMs = await order(record, others, 'POST', PATH);
    record('the evacuation is acknowledged; nothing takes it back from now on');
    await sleep(EVACUATION_MS + 3000);
    isOver = true;
    await traffic;
    await sleep(300);
    const late = runs.filter(
      ({worker, atMs}) =>
        worker.zone === EVACUATED && atMs > ackedAtMs + EVACUATION_MS
    );
    record(`sent ${sent}, answers by status ${JSON.stringify([...answers])}`);
    record(`${runs.length} requests ran at the workers`);
    for (const {worker, attempt, atMs} of late.slice(0, 10))
      record(
        `${attempt} reached ${worker.id} in ${worker.zone} ${Math.round(atMs - ackedAtMs)} ms after the acknowledgement`
      );
    record(
      `${late.length} requests reached ${EVACUATED} later than ${EVACUATION_MS} ms after its evacuation was acknowledged`
    );
    return late.length > 0;
  } finally {
    isOver = true;
    for (const worker of workers) worker.stop();
    link?.server.close();
    await nodes.stop();
  }
});
