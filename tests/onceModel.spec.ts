import {ONCE_MODEL} from '../bench/fuzz/onceModel';

// The caller is told "not run" of an assignment that ran, or two boxes get one
// socket. Entries die between claim and dispatch, agents restart under late
// dispatches, resends race through other entries, answers are lost: each fixed
// seed is one such schedule over the shipped decisions.
describe('calls that may run at most once', () => {
  it('should hold their promises under fixed schedules', () => {
    for (let seed = 1; seed <= 300; seed++) {
      expect(() => ONCE_MODEL.run(seed)).not.toThrow();
    }
  });
});
