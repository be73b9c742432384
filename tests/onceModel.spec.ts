import {ONCE_MODEL} from '../bench/fuzz/onceModel';

// Guards against a call that runs twice, or that is reported as "not run"
// although it ran. Entries die between claim and dispatch, agents restart
// before late dispatches arrive, resends race through other entries, and
// responses are lost. Each fixed seed is one such schedule over the decisions
// of the shipped code.
describe('calls that may run at most once', () => {
  it('should hold their promises under fixed schedules', () => {
    for (let seed = 1; seed <= 300; seed++) {
      expect(() => ONCE_MODEL.run(seed)).not.toThrow();
    }
  });
});
