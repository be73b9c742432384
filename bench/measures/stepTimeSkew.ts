/** `stepTimeSkew`: load of the slowest rank over the mean while popularity drifts and bursts. */

import type {
  Figures,
  Measure,
  MeasureOptions,
  MeasureResult,
  Plot,
} from '../measure';
import type {ExpertRunOutcome, PolicyOutcome} from './expertRun';
import {findPolicy, sharedRun} from './expertRun';

const MAX_MEAN_SKEW = 1.05;
const MAX_P99_SKEW = 1.1;
const MIN_TIMES_CLOSER = 3;
/** Approximate number of points of a line in the report. */
const PLOT_POINTS = 300;

function figuresOf(policy: PolicyOutcome): Figures {
  return {
    meanRatio: policy.mean,
    p50Ratio: policy.p50,
    p99Ratio: policy.p99,
    maxRatio: policy.max,
  };
}

function plotOf(run: ExpertRunOutcome): Plot {
  const series = run.policies.map(({name, skews}) => {
    const every = Math.max(1, Math.floor(skews.length / PLOT_POINTS));
    const points = skews
      .map((y, index) => ({x: (index * run.tickMs) / 1000, y}))
      .filter((_, index) => index % every === 0);
    return {name, points};
  });
  return {title: 'Slowest over mean rank', unit: 'ratio', series};
}

function causeOf(ours: Figures, closer: number): string | undefined {
  const failures: string[] = [];
  const {meanRatio = 0, p99Ratio = 0} = ours;
  if (meanRatio > MAX_MEAN_SKEW) failures.push(`mean ${meanRatio.toFixed(3)}`);
  if (p99Ratio > MAX_P99_SKEW)
    failures.push(
      `p99 ${p99Ratio.toFixed(3)}: steps until the loads that a burst needs are there, one at a time`
    );
  if (closer < MIN_TIMES_CLOSER)
    failures.push(`only ${closer.toFixed(1)} times closer to 1 than static`);
  return failures.length === 0 ? undefined : failures.join('; ');
}

/** See the head of this file. */
export const stepTimeSkew: Measure = {
  key: 'stepTimeSkew',
  async run(options: MeasureOptions): Promise<MeasureResult> {
    const run = sharedRun(options);
    const unchanged = findPolicy(run, 'static');
    const mine = findPolicy(run, 'ours');
    const closer = (unchanged.mean - 1) / (mine.mean - 1);
    const ours = {...figuresOf(mine), closerThanStaticTimes: closer};
    const others = run.policies.filter(policy => policy !== mine);
    const cause = causeOf(ours, closer);
    return {
      ours,
      baselines: Object.fromEntries(others.map(p => [p.name, figuresOf(p)])),
      bound: {
        meanRatio: run.bound,
        meanWithChanceRatio: run.noiseMean,
        p99WithChanceRatio: run.noiseP99,
      },
      mark: `mean at most ${MAX_MEAN_SKEW}, p99 at most ${MAX_P99_SKEW}, at least ${MIN_TIMES_CLOSER} times closer to 1 than static placement`,
      met: cause === undefined,
      cause,
      plots: [plotOf(run)],
    };
  },
};
