import {queueModel} from '../bench/fuzz/queueModel';
import {rampModel} from '../bench/fuzz/rampModel';

const SEEDS = 100;

describe('load decisions under seeded schedules', () => {
  it.each([queueModel, rampModel])('should hold for $name', model => {
    for (let seed = 1; seed <= SEEDS; seed++)
      expect(() => model.run(seed)).not.toThrow();
  });
});
