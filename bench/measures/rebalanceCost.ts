/** `rebalanceCost`: bytes moved and step time lost, compared with placing from scratch. */

import type {Figures, Measure, MeasureOptions, MeasureResult} from '../measure';
import type {PolicyOutcome} from './expertRun';
import {findPolicy, sharedRun} from './expertRun';

const MAX_BYTES_RATIO = 0.25;
const MAX_SKEW_DIFFERENCE = 0.01;
const BYTES_PER_GB = 1e9;

function figuresOf(policy: PolicyOutcome): Figures {
  return {
    movedGbPerHour: policy.bytesPerHour / BYTES_PER_GB,
    loadsPerHour: policy.loadsPerHour,
    switchesPerHour: policy.switchesPerHour,
    stepTimeLostMsPerHour: policy.lostMsPerHour,
    meanSkewRatio: policy.mean,
  };
}

/** The cheapest from-scratch policy whose skew is as low as ours. */
function cheapestWithEqualSkew(
  mine: PolicyOutcome,
  scratch: readonly PolicyOutcome[]
): PolicyOutcome | undefined {
  return scratch
    .filter(policy => policy.mean <= mine.mean + MAX_SKEW_DIFFERENCE)
    .sort((a, b) => a.bytesPerHour - b.bytesPerHour)[0];
}

/** See the head of this file. */
export const rebalanceCost: Measure = {
  key: 'rebalanceCost',
  async run(options: MeasureOptions): Promise<MeasureResult> {
    const run = sharedRun(options);
    const mine = findPolicy(run, 'ours');
    const scratch = run.policies.filter(p => p.name.startsWith('scratch'));
    const leastBytes = Math.min(...scratch.map(p => p.bytesPerHour));
    const leastSkew = Math.min(...scratch.map(p => p.mean));
    const rival = cheapestWithEqualSkew(mine, scratch);
    // Without a rival of equal skew, ours is compared with the cheapest of all.
    const bytesRatio = mine.bytesPerHour / (rival?.bytesPerHour ?? leastBytes);
    const skewOver = mine.mean - leastSkew;
    const met =
      bytesRatio <= MAX_BYTES_RATIO && skewOver <= MAX_SKEW_DIFFERENCE;
    return {
      ours: {
        ...figuresOf(mine),
        bytesRatio,
        skewOverScratchRatio: skewOver,
      },
      baselines: Object.fromEntries(scratch.map(p => [p.name, figuresOf(p)])),
      mark: `at most ${MAX_BYTES_RATIO} of the bytes that solving from scratch moves, at equal skew within ${MAX_SKEW_DIFFERENCE}`,
      met,
      cause: met
        ? undefined
        : `moves ${bytesRatio.toFixed(2)} of the bytes, skew higher by ${skewOver.toFixed(3)}`,
    };
  },
};
