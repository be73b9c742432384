import type {Payload} from '../fixtures/crowd';
import {
  BYTES,
  Crowd,
  LARGE_CHUNK,
  LAST_CHUNK,
  TINY_CHUNKS,
  UNITS_PER_MIB,
  chunkedHead,
  requestHead,
  tcp,
} from '../fixtures/crowd';
import {
  CrowdedNode,
  MACHINE_BYTES,
  MACHINE_DESCRIPTORS,
  MAX_BODY_BYTES,
} from '../fixtures/crowdedNode';
import {eventually} from '../fixtures/testSystem';

const MIB = 1 << 20;
const UNITS_OF_LARGEST_BODY = 4 * UNITS_PER_MIB;
/** Connections to targets and nodes, which come and go. */
const UNRELATED_DESCRIPTORS = 20;
const POST = 'POST /x/crowd';

let node: CrowdedNode;
let crowd: Crowd | undefined;
let idleDescriptors: number;
beforeEach(async () => {
  node = new CrowdedNode();
  await node.start();
  idleDescriptors = node.usage.descriptors;
}, 30_000);
afterEach(async () => {
  crowd?.leave();
  await node.stop();
});

function gather(size: number, payload: Payload): Crowd {
  crowd = Crowd.start(size, tcp(node.ip, node.port('callers')), payload);
  return crowd;
}

/** Serves an ordinary request, and uses no more than the machine has. */
async function expectSound(): Promise<void> {
  expect(node.isAlive).toBe(true);
  const {peakBytes, descriptors} = node.usage;
  expect(peakBytes).toBeLessThan(MACHINE_BYTES);
  expect(descriptors).toBeLessThan(MACHINE_DESCRIPTORS);
  await eventually('an ordinary request', () => node.isServing());
}

/** The node ends every connection of the crowd, though the clients stay. */
async function expectEnded(ended: Crowd): Promise<void> {
  const most = idleDescriptors + UNRELATED_DESCRIPTORS;
  await eventually(
    'the end of all connections',
    async () => ended.openCount === 0 && node.usage.descriptors <= most
  );
}

// Each chunk was kept as an object until the end of the body.
describe('a body in chunks of one byte', () => {
  it('should be served when it is within the limits', async () => {
    const whole = gather(1, {
      head: chunkedHead('POST /patient/crowd', 'Connection: close'),
      unit: TINY_CHUNKS,
      count: UNITS_OF_LARGEST_BODY,
      tail: LAST_CHUNK,
      then: 'stay',
    });
    await whole.untilSent();
    await whole.ended;
    expect(whole.statuses).toEqual([200]);
    await expectSound();
  }, 60_000);

  it.each([
    ['that stop short', 40, UNITS_PER_MIB],
    ['without end', 50, 2 * UNITS_OF_LARGEST_BODY],
  ])(
    'should not end a node: %s',
    async (_name, size, count) => {
      const head = chunkedHead(POST);
      const many = gather(size, {head, unit: TINY_CHUNKS, count, then: 'stay'});
      await eventually('an ordinary request', () => node.isServing());
      await many.untilSent();
      await expectSound();
      await expectEnded(many);
      await expectSound();
    },
    90_000
  );
});

// Nothing bounded what all requests hold, and no time limit applied to a body.
describe('bodies that stop short', () => {
  const length = `Content-Length: ${MAX_BODY_BYTES}`;
  const count = UNITS_OF_LARGEST_BODY - 2;
  const staying: Payload = {
    head: chunkedHead(POST),
    unit: LARGE_CHUNK,
    count,
    then: 'stay',
  };
  const cases: readonly [string, Payload][] = [
    ['in chunks', staying],
    [
      'after 100 Continue',
      {...staying, head: chunkedHead(POST, 'Expect: 100-continue')},
    ],
    ['whose clients have closed their side', {...staying, then: 'halfClose'}],
    [
      'with a length',
      {...staying, head: requestHead(POST, length), unit: BYTES},
    ],
  ];

  it.each(cases)(
    'should be answered and leave room: %s',
    async (_name, payload) => {
      const many = gather(100, payload);
      await many.untilSent();
      expect(await node.serve()).toBe(200);
      await expectSound();
      await expectEnded(many);
      for (const status of many.statuses)
        expect([0, 400, 408, 503]).toContain(status);
      await expectSound();
    },
    60_000
  );
});

describe('whole bodies of the largest size', () => {
  it('should not take the memory of the machine', async () => {
    const many = gather(100, {
      head: chunkedHead(POST, 'Connection: close'),
      unit: LARGE_CHUNK,
      count: UNITS_OF_LARGEST_BODY - 1,
      tail: LAST_CHUNK,
      then: 'stay',
    });
    await many.untilSent();
    await expectSound();
    await expectEnded(many);
    await expectSound();
  }, 60_000);
});

// A refused body was read to its end, however long it was.
describe('a refused body', () => {
  const cases: readonly [string, Payload, number][] = [
    [
      'that announces more than the limit',
      {
        head: requestHead(POST, 'Content-Length: 1000000000'),
        unit: BYTES,
        count: 64 * UNITS_PER_MIB,
        then: 'stay',
      },
      413,
    ],
    [
      'without a known key',
      {
        head: chunkedHead('POST /keyed/crowd'),
        unit: LARGE_CHUNK,
        count: UNITS_OF_LARGEST_BODY - 2,
        then: 'stay',
      },
      401,
    ],
    [
      'without a route, and without end',
      {
        head: chunkedHead('POST /unknown'),
        unit: LARGE_CHUNK,
        count: 64 * UNITS_PER_MIB,
        then: 'stay',
      },
      404,
    ],
  ];

  it.each(cases)(
    'should not be read on: %s',
    async (_name, payload, status) => {
      const many = gather(50, payload);
      await many.untilSent();
      await expectEnded(many);
      expect(many.mostSentBytes).toBeLessThan(32 * MIB);
      for (const each of many.statuses) expect([0, status]).toContain(each);
      await expectSound();
    },
    90_000
  );
});

// A connection could have any number of requests in progress, and responses unread.
describe('requests in a row whose responses are not read', () => {
  const head = requestHead('GET /x/crowd');
  const perUnit = Math.floor(16_384 / head.length);
  const body = 'x'.repeat(256 << 10);
  const cases: readonly [string, Payload][] = [
    [
      'small ones',
      {
        head: '',
        unit: Buffer.from(head.repeat(perUnit)),
        count: 3 * UNITS_PER_MIB,
        then: 'stay',
        reads: false,
      },
    ],
    [
      'with bodies',
      {
        head: '',
        unit: Buffer.from(
          `${requestHead(POST, `Content-Length: ${body.length}`)}${body}`
        ),
        count: 32,
        then: 'stay',
        reads: false,
      },
    ],
  ];

  it.each(cases)(
    'should not end a node or lock others out: %s',
    async (_name, payload) => {
      const many = gather(50, payload);
      await eventually('an ordinary request', () => node.isServing());
      await many.untilSent();
      await expectSound();
    },
    90_000
  );
});

// Connections were accepted until the machine had no descriptors left.
describe('connections that send nothing', () => {
  it('should leave descriptors for others', async () => {
    const none = {head: '', unit: Buffer.alloc(0), count: 0} as const;
    const many = gather(700, {...none, then: 'stay'});
    await many.untilSent();
    await expectSound();
    await expectEnded(many);
    await expectSound();
  }, 60_000);
});
