/** Ways to choose a target: ours, the baselines, and perfect knowledge. */

import {
  chooseTarget,
  type RoutedRequest,
  type TargetView,
} from '../../src/policy/balance';

/** Names of the ways. */
export type ChooserName =
  'ours' | 'roundRobin' | 'leastOutstanding' | 'twoChoices' | 'perfect';

/** Picks among views; undefined when none may take work. */
export type Chooser = (
  req: RoutedRequest,
  views: readonly TargetView[],
  random: () => number
) => TargetView | undefined;

/** A chooser of its own for each entry; `perfect` is made by the cluster. */
export function makeChooser(name: Exclude<ChooserName, 'perfect'>): Chooser {
  switch (name) {
    case 'ours':
      return chooseTarget;
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
    if (best === undefined || known(view) < known(best)) best = view;
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
  return known(first) <= known(second) ? first : second;
}

/** The last report, and what was sent since. */
function known(view: TargetView): number {
  const reported = view.reportedOutstanding + view.reportedQueued;
  return Math.max(view.ownOutstanding, reported + view.ownSinceReport);
}
