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
