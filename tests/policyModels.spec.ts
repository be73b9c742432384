import {QUEUE_MODEL} from '../bench/fuzz/queueModel';
import {RAMP_MODEL} from '../bench/fuzz/rampModel';

const SEEDS = 100;

describe('fuzz models of the fair queue and the ramp', () => {
  it.each([QUEUE_MODEL, RAMP_MODEL])(
    'should keep all invariants of $name',
    model => {
      for (let seed = 1; seed <= SEEDS; seed++)
        expect(() => model.run(seed)).not.toThrow();
    }
  );
});
