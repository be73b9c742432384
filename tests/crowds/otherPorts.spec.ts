import {CONTROL_CODEC} from '../../platform/controlCalls';
import {DOCUMENT_PATH} from '../../platform/counterpart';
import type {Payload} from '../fixtures/crowd';
import {
  Crowd,
  LARGE_CHUNK,
  TINY_CHUNKS,
  UNITS_PER_MIB,
  chunkedHead,
  requestHead,
  tcp,
} from '../fixtures/crowd';
import type {PortName} from '../fixtures/crowdedNode';
import {
  CrowdedNode,
  MACHINE_BYTES,
  MACHINE_DESCRIPTORS,
} from '../fixtures/crowdedNode';
import {eventually} from '../fixtures/testSystem';

let node: CrowdedNode;
let crowd: Crowd | undefined;
beforeEach(async () => {
  node = new CrowdedNode();
  await node.start();
}, 30_000);
afterEach(async () => {
  crowd?.leave();
  await node.stop();
});

async function expectSound(): Promise<void> {
  expect(node.isAlive).toBe(true);
  const {peakBytes, descriptors} = node.usage;
  expect(peakBytes).toBeLessThan(MACHINE_BYTES);
  expect(descriptors).toBeLessThan(MACHINE_DESCRIPTORS);
  await eventually('an ordinary request', () => node.isServing());
}

const PUT = `PUT ${DOCUMENT_PATH}`;
const STOPS_SHORT = {unit: LARGE_CHUNK, count: 4 * UNITS_PER_MIB - 2};
const IN_BYTES = {unit: TINY_CHUNKS, count: UNITS_PER_MIB};
const ENDLESS = {unit: LARGE_CHUNK, count: 24 * UNITS_PER_MIB};
const IN_ROW = {
  unit: Buffer.from(requestHead('GET /metrics').repeat(300)),
  count: 200,
  reads: false,
};
const NO_HEAD = '';

type Case = readonly [
  PortName,
  string,
  number,
  string,
  Pick<Payload, 'unit' | 'count' | 'reads'>,
];

const CASES: readonly Case[] = [
  ['control', 'bodies that stop short', 100, chunkedHead(PUT), STOPS_SHORT],
  ['control', 'bodies in chunks of one byte', 40, chunkedHead(PUT), IN_BYTES],
  ['control', 'bodies without end', 50, chunkedHead(PUT), ENDLESS],
  ['internal', 'bodies that stop short', 100, chunkedHead(PUT), STOPS_SHORT],
  ['internal', 'bodies in chunks of one byte', 40, chunkedHead(PUT), IN_BYTES],
  ['internal', 'bodies without end', 50, chunkedHead(PUT), ENDLESS],
  ['metrics', 'requests in a row', 50, NO_HEAD, IN_ROW],
  [
    'metrics',
    'bodies in chunks of one byte',
    40,
    chunkedHead('GET /metrics'),
    IN_BYTES,
  ],
  ['ready', 'requests in a row', 50, NO_HEAD, IN_ROW],
  [
    'ready',
    'bodies in chunks of one byte',
    40,
    chunkedHead(`GET ${CONTROL_CODEC.readinessPath}`),
    IN_BYTES,
  ],
];

// Only the port for callers had limits of its own.
describe('a crowd at another port', () => {
  it.each(CASES)(
    'should neither end a node nor lock callers out: %s, %s',
    async (portName, _name, size, head, payload) => {
      crowd = Crowd.start(size, tcp(node.ip, node.port(portName)), {
        ...payload,
        head,
        then: 'stay',
      });
      await eventually('an ordinary request', () => node.isServing());
      await crowd.untilSent();
      await expectSound();
    },
    90_000
  );
});
