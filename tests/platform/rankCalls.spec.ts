import {RANK_CODEC} from '../../platform/rankCalls';

const SCOPE = {fence: 7, epoch: 2};

describe('calls to ranks', () => {
  it.each([
    [
      {kind: 'prepare', version: 4, lists: [[[0, 2], [1]]]},
      {operation: 'prepare', version: 4, map: [[[0, 2], [1]]]},
    ],
    [
      {kind: 'arm', version: 4, pass: 90},
      {operation: 'arm', version: 4, step: 90},
    ],
    [
      {kind: 'disarm', version: 4},
      {operation: 'disarm', version: 4},
    ],
    [
      {kind: 'hold', pass: 90},
      {operation: 'hold', step: 90},
    ],
    [
      {kind: 'go', pass: 90},
      {operation: 'go', step: 90},
    ],
  ] as const)('should order %j', (order, body) => {
    const call = RANK_CODEC.orderCall(order, SCOPE);
    expect(JSON.parse(call.body ?? '')).toEqual({
      ...body,
      epoch: 2,
      fencingToken: 7,
    });
  });

  it('should read a report with and without a switch under way', () => {
    const idle = '{"step":18,"map":0,"prepared":null,"armed":null,"held":null}';
    expect(RANK_CODEC.readReport(idle)).toEqual({
      pass: 18,
      mapVersion: 0,
      preparedVersion: 0,
      slowness: 1,
    });
    const busy =
      '{"step":18,"map":3,"prepared":4,"armed":{"version":4,"step":20},"held":20,"pace":2.5}';
    expect(RANK_CODEC.readReport(busy)).toEqual({
      pass: 18,
      mapVersion: 3,
      preparedVersion: 4,
      armed: {version: 4, pass: 20},
      heldPass: 20,
      slowness: 2.5,
    });
  });

  it.each(['', '{', '[]', '{"step":"x"}'])(
    'should reject the malformed text "%s"',
    text => {
      expect(RANK_CODEC.readReport(text)).toBeUndefined();
      expect(RANK_CODEC.readCounts(text)).toBeUndefined();
      expect(RANK_CODEC.readMap(text)).toBeUndefined();
    }
  );

  // A refused order never took effect; one with an unexpected status may have.
  it.each([
    [200, 'done'],
    [202, 'done'],
    [409, 'refused'],
    [412, 'fenced'],
    [500, 'unknown'],
  ] as const)('should read %i as %s', (status, answer) => {
    expect(RANK_CODEC.readOrderStatus(status)).toBe(answer);
  });
});
