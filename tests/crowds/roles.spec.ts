import tls from 'node:tls';
import {assign, newIdempotencyKey} from '../../bench/deployment/callers';
import {PROTOCOL_VERSION} from '../../src/core/protocolVersion';
import {PROTOCOL_HEADER, RPC_PATH} from '../../src/rpc/peerServer';
import {clientTls} from '../../src/rpc/peerTls';
import type {Connect} from '../fixtures/crowd';
import {
  Crowd,
  LARGE_CHUNK,
  LAST_CHUNK,
  TINY_CHUNKS,
  UNITS_PER_MIB,
  chunkedHead,
  tcp,
} from '../fixtures/crowd';
import {processUsage} from '../fixtures/processUsage';
import {TestSystem, eventually} from '../fixtures/testSystem';

/** Memory of the machine that each process is sized for, bytes. */
const MACHINE_BYTES = 350 << 20;
const HOST = '127.0.0.1';
const CREATED = 201;

let system: TestSystem;
let crowd: Crowd | undefined;
beforeAll(async () => {
  system = await TestSystem.start({zones: ['zone-a'], entries: 1});
}, 60_000);
afterEach(() => crowd?.leave());
afterAll(() => system.stop());

function secure(port: number): Connect {
  const options = clientTls(system.deployment.secret, 'crowd');
  return () => tls.connect({...options, host: HOST, port});
}

async function expectSound(name: string): Promise<void> {
  const {pid} = system.deployment.child(name);
  expect(processUsage(pid).peakBytes).toBeLessThan(MACHINE_BYTES);
  await eventually('an assignment', async () => {
    const answer = await assign(system.port(0), newIdempotencyKey(), 1);
    return answer.status === CREATED;
  });
}

const RPC = chunkedHead(
  `POST ${RPC_PATH}`,
  `${PROTOCOL_HEADER}: ${PROTOCOL_VERSION}`,
  'Connection: close'
);
const ASSIGN = chunkedHead(
  'POST /assign',
  'X-Customer: harbour',
  'Idempotency-Key: crowd',
  'Connection: close'
);
const STATUS = chunkedHead(
  'POST /status',
  'X-Customer: harbour',
  'Connection: close'
);
const IN_BYTES = {
  unit: TINY_CHUNKS,
  count: UNITS_PER_MIB / 2,
  tail: LAST_CHUNK,
  then: 'stay',
} as const;

// The roles read bodies by loops of their own, without a bound of all together.
describe('a crowd at the port of a role', () => {
  it.each([
    ['bodies that are kept', ASSIGN],
    ['bodies that are passed on as they come', STATUS],
  ])(
    'should neither end an entry nor lock others out: %s',
    async (_name, head) => {
      const connect = tcp(HOST, system.port(0));
      crowd = Crowd.start(12, connect, {head, ...IN_BYTES});
      await crowd.ended;
      await expectSound('entry-0');
    },
    60_000
  );

  it.each(['control-0', 'agent-allocation-0'])(
    'should not end %s: messages in chunks of one byte',
    async name => {
      const connect = secure(system.deployment.child(name).hello.port);
      crowd = Crowd.start(12, connect, {head: RPC, ...IN_BYTES});
      await crowd.ended;
      await expectSound(name);
    },
    60_000
  );

  // Nothing was known of the connections of a TLS server before their handshake.
  it('should leave descriptors to others: no handshake', async () => {
    const {port} = system.deployment.child('control-0').hello;
    const none = {head: '', unit: LARGE_CHUNK, count: 0} as const;
    crowd = Crowd.start(50, tcp(HOST, port), {...none, then: 'stay'});
    await crowd.untilSent();
    const {openCount} = crowd;
    expect(openCount).toBe(50);
    await crowd.ended;
    await expectSound('control-0');
  }, 60_000);
});
