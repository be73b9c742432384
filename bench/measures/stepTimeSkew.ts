/** `stepTimeSkew`: slowest over mean rank while popularity drifts and bursts. */

import type {
  Figures,
  Measure,
  MeasureOptions,
  MeasureResult,
  Plot,
} from '../measure';
import type {ExpertRunOutcome, PolicyOutcome} from './expertRun';
import {policyOf, sharedRun} from './expertRun';

const MEAN_MARK = 1.05;
const P99_MARK = 1.1;
const CLOSER_MARK = 3;
/** Points of a line in the report. */
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
  const short: string[] = [];
  const {meanRatio = 0, p99Ratio = 0} = ours;
  if (meanRatio > MEAN_MARK) short.push(`mean ${meanRatio.toFixed(3)}`);
  if (p99Ratio > P99_MARK)
    short.push(
      `p99 ${p99Ratio.toFixed(3)}: steps until the loads that a burst needs are there, one at a time`
    );
  if (closer < CLOSER_MARK)
    short.push(`only ${closer.toFixed(1)} times closer to 1 than static`);
  return short.length === 0 ? undefined : short.join('; ');
}

/** The measure. */
export const stepTimeSkew: Measure = {
  key: 'stepTimeSkew',
  async run(options: MeasureOptions): Promise<MeasureResult> {
    const run = sharedRun(options);
    const still = policyOf(run, 'static');
    const mine = policyOf(run, 'ours');
    const closer = (still.mean - 1) / (mine.mean - 1);
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
      mark: `mean at most ${MEAN_MARK}, p99 at most ${P99_MARK}, at least ${CLOSER_MARK} times closer to 1 than static placement`,
      met: cause === undefined,
      cause,
      plots: [plotOf(run)],
    };
  },
};
