/** `rebalanceCost`: bytes moved and step time lost, against solving anew. */

import type {Figures, Measure, MeasureOptions, MeasureResult} from '../measure';
import type {PolicyOutcome} from './expertRun';
import {policyOf, sharedRun} from './expertRun';

const BYTES_MARK = 0.25;
const SKEW_MARK = 0.01;
const GIGA = 1e9;

function figuresOf(policy: PolicyOutcome): Figures {
  return {
    movedGbPerHour: policy.bytesPerHour / GIGA,
    loadsPerHour: policy.loadsPerHour,
    switchesPerHour: policy.switchesPerHour,
    stepTimeLostMsPerHour: policy.lostMsPerHour,
    meanSkewRatio: policy.mean,
  };
}

/** The cheapest of the ways from scratch whose skew is as low as ours. */
function cheapestEqual(
  mine: PolicyOutcome,
  scratch: readonly PolicyOutcome[]
): PolicyOutcome | undefined {
  return scratch
    .filter(policy => policy.mean <= mine.mean + SKEW_MARK)
    .sort((a, b) => a.bytesPerHour - b.bytesPerHour)[0];
}

/** The measure. */
export const rebalanceCost: Measure = {
  key: 'rebalanceCost',
  async run(options: MeasureOptions): Promise<MeasureResult> {
    const run = sharedRun(options);
    const mine = policyOf(run, 'ours');
    const scratch = run.policies.filter(p => p.name.startsWith('scratch'));
    const leastBytes = Math.min(...scratch.map(p => p.bytesPerHour));
    const leastSkew = Math.min(...scratch.map(p => p.mean));
    const rival = cheapestEqual(mine, scratch);
    // With no rival of equal skew, ours must be cheaper than every one.
    const bytesRatio = mine.bytesPerHour / (rival?.bytesPerHour ?? leastBytes);
    const skewOver = mine.mean - leastSkew;
    const met = bytesRatio <= BYTES_MARK && skewOver <= SKEW_MARK;
    return {
      ours: {
        ...figuresOf(mine),
        bytesRatio,
        skewOverScratchRatio: skewOver,
      },
      baselines: Object.fromEntries(scratch.map(p => [p.name, figuresOf(p)])),
      mark: `at most ${BYTES_MARK} of the bytes that solving from scratch moves, at equal skew within ${SKEW_MARK}`,
      met,
      cause: met
        ? undefined
        : `moves ${bytesRatio.toFixed(2)} of the bytes, skew higher by ${skewOver.toFixed(3)}`,
    };
  },
};
