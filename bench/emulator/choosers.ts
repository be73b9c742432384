/** Strategies to choose a target: the product, baselines, and a perfect oracle. */

import {
  chooseSampledTarget,
  type RoutedRequest,
  type TargetView,
} from '../../src/policy/sampledTargetChoice';

/** Names of the strategies. */
export type ChooserName =
  'ours' | 'roundRobin' | 'leastOutstanding' | 'twoChoices' | 'perfect';

/** Chooses one of the views; undefined if no target accepts work. */
export type Chooser = (
  req: RoutedRequest,
  views: readonly TargetView[],
  random: () => number
) => TargetView | undefined;

/** Creates the chooser of one entry; the cluster itself creates `perfect`. */
export function makeChooser(name: Exclude<ChooserName, 'perfect'>): Chooser {
  switch (name) {
    case 'ours':
      return chooseSampledTarget;
    case 'roundRobin':
      return roundRobin();
    case 'leastOutstanding':
      return leastOutstanding;
    case 'twoChoices':
      return twoChoices;
  }
}

function roundRobin(): Chooser {
  let next = 0;
  return (_req, views) => {
    const usable = views.filter(view => view.limit > 0);
    return usable[next++ % Math.max(1, usable.length)];
  };
}

function leastOutstanding(
  _req: RoutedRequest,
  views: readonly TargetView[]
): TargetView | undefined {
  let best: TargetView | undefined;
  for (const view of views) {
    if (view.limit <= 0) continue;
    if (best === undefined || estimateLoad(view) < estimateLoad(best))
      best = view;
  }
  return best;
}

function twoChoices(
  _req: RoutedRequest,
  views: readonly TargetView[],
  random: () => number
): TargetView | undefined {
  const usable = views.filter(view => view.limit > 0);
  const first = usable[Math.floor(random() * usable.length)];
  const second = usable[Math.floor(random() * usable.length)];
  if (first === undefined || second === undefined) return undefined;
  return estimateLoad(first) <= estimateLoad(second) ? first : second;
}

/** Load by the last report and the requests that were sent since. */
function estimateLoad(view: TargetView): number {
  const reported = view.reportedOutstanding + view.reportedQueued;
  return Math.max(view.ownOutstanding, reported + view.ownSinceReport);
}
