import {REST_MODEL, checkRests} from '../bench/fuzz/restModel';
import {SeededRandom} from '../bench/fuzz/schedule';

const AT_REST = [{fromMs: 5_000, restMs: 3_000}, {fromMs: 15_000}];

describe('rest that a target asks a node for', () => {
  // Guards against a target that is overrun though it has turned the node away and
  // said for how long.
  it.each([
    {nodes: 1, targets: [AT_REST]},
    {nodes: 7, targets: [AT_REST, [], []]},
    {nodes: 7, targets: [AT_REST, AT_REST, AT_REST]},
    {nodes: 60, targets: [AT_REST, AT_REST, []]},
  ])(
    'should be kept by each of $nodes nodes, for $targets.length targets',
    ({nodes, targets}) => {
      const scenario = {nodes, targets, ratePerTarget: 4 * nodes, faults: []};
      expect(() => checkRests(scenario, new SeededRandom(1))).not.toThrow();
    }
  );

  // Guards against a rest that is lost with a reply of the leader, new permits or an
  // announcement of the target.
  it('should be kept under seeded schedules of faults', () => {
    for (let seed = 1; seed <= 60; seed++)
      expect(() => REST_MODEL.run(seed)).not.toThrow();
  });
});

describe('target that states that it leaves', () => {
  const LEAVING = [{fromMs: 5_000, isLeaving: true}];

  // Guards against requests to a target that is about to stop, by a node that is told
  // by nobody else: its announcements are late or lost, or the node is cut off.
  it.each([
    {nodes: 1, faults: []},
    {nodes: 7, faults: []},
    {nodes: 7, faults: [{atMs: 5_500, kind: 'lostLeader' as const}]},
    {nodes: 60, faults: []},
  ])(
    'should get nothing more from $nodes nodes that were told',
    ({nodes, faults}) => {
      const scenario = {
        nodes,
        targets: [LEAVING, [], []],
        ratePerTarget: 4 * nodes,
        faults,
      };
      expect(() => checkRests(scenario, new SeededRandom(1))).not.toThrow();
    }
  );
});
