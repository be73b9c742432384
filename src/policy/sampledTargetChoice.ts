/**
 * Chooses the target of one request from a partial and outdated view of the load.
 *
 * The score of a target is its expected load, including this request, divided by
 * its concurrency limit. The lowest score in a small random sample wins, because
 * entries that share the same outdated view would otherwise all pick the same
 * target.
 */

import type {Temperature} from '../core/wire';

/** State of one target as one entry knows it when it routes a request. */
export interface TargetView {
  readonly targetId: string;
  readonly availabilityZone: string;
  readonly temperature: Temperature;
  /** Current concurrency limit; a target with limit 0 is never chosen. */
  readonly limit: number;
  readonly reportedOutstanding: number;
  readonly reportedQueued: number;
  /** Tokens running and queued, as last reported; 0 for plain services. */
  readonly reportedTokens: number;
  /** Milliseconds since the target made its last report. */
  readonly reportAgeMs: number;
  /** Requests of this entry that are in flight at the target. */
  readonly ownOutstanding: number;
  /** Cost of the requests in `ownOutstanding`, see `requestCost`. */
  readonly ownTokens: number;
  /** Requests that this entry has sent to the target since its last report. */
  readonly ownSinceReport: number;
  /** Prompt tokens not yet prefilled, see `promptsLeft`; 0 if absent. */
  readonly ownPromptTokens?: number;
  /** Prompt tokens of this request that the target probably has cached. */
  readonly prefixTokens: number;
  /** Failed attempts of this entry at the target in the last seconds. */
  readonly recentFailures: number;
  /** Ratio of its group's step time to the usual one; 1 without a straggler. */
  readonly groupStraggle: number;
  /** Ratio of its normal load while its zone returns, 0 to 1; 1 if absent. */
  readonly returnWeight?: number;
}

/** Properties of a request that affect routing. */
export interface RoutedRequest {
  /** 0 for plain services. */
  readonly promptTokens: number;
  /** Expected output tokens; 0 for plain services. */
  readonly outputTokens: number;
  /** Zone of the entry. */
  readonly availabilityZone: string;
}

/** Cost of a prompt token in output tokens: prefill processes many at a time. */
const PROMPT_TOKEN_COST = 0.1;
/** Cost of a call to a plain service. */
const SERVICE_COST = 1;
/** Age at which a report and the mean of the pool have the same weight. */
const REPORT_HALF_LIFE_MS = 8000;
/**
 * Score of an idle target: its step time, relative to the time that a full batch
 * adds. It is multiplied by the group's slowdown because a straggler is already
 * slow with a single request.
 */
const UNLOADED_SCORE = 1;
/**
 * Number of pending prompt tokens that weigh as much as one running request. A
 * running request slows each step slightly; a prompt ahead in the prefill queue
 * delays the first token of the new request.
 */
const PROMPT_TOKENS_PER_REQUEST = 250;
/**
 * Weight of a request in the target's queue, relative to a running one. That queue
 * is fair among customers, so the backlog of a flood delays no other customer. At
 * full weight, random differences in that backlog would outweigh everything that
 * does delay a small customer.
 */
const WAITING_WEIGHT = 0.1;
/** Targets compared for each request. */
const SAMPLE_SIZE = 3;
/** Score penalty for another zone; a fully loaded target counts 1. */
const REMOTE_ZONE_SCORE = 0.02;
/** Score penalty for each recent failure; a fully loaded target counts 1. */
const FAILURE_SCORE = 0.5;

/** Cost of a request in output tokens, or 1 for a plain service. */
export function requestCost(
  req: Pick<RoutedRequest, 'promptTokens' | 'outputTokens'>,
  cachedTokens = 0
): number {
  const prompt = Math.max(0, req.promptTokens - cachedTokens);
  const cost = prompt * PROMPT_TOKEN_COST + req.outputTokens;
  return Math.max(SERVICE_COST, cost);
}

/** Chooses the target for a request; undefined when every limit is 0. */
export function chooseSampledTarget(
  req: RoutedRequest,
  targets: readonly TargetView[],
  random: () => number
): TargetView | undefined {
  const usable = targets.filter(target => target.limit > 0);
  if (usable.length === 0) return undefined;
  const withFreeSlot = usable.filter(hasFreeSlot);
  const candidates = withFreeSlot.length > 0 ? withFreeSlot : usable;
  const pool = summarize(usable);
  const sampled = sample(candidates, random);
  const cached = bestPrefixTarget(candidates);
  const compared = cached === undefined ? sampled : [...sampled, cached];
  return lowestScore(req, compared, pool);
}

/**
 * Returns the target with the longest cached prompt prefix, and the least loaded
 * among equals. It is compared in addition to the sample, which would usually miss
 * it; a less loaded target can still win.
 */
function bestPrefixTarget(
  targets: readonly TargetView[]
): TargetView | undefined {
  let best: TargetView | undefined;
  for (const target of targets) {
    if (target.prefixTokens === 0 || (target.returnWeight ?? 1) < 1) continue;
    if (best === undefined || isBetterPrefixTarget(target, best)) best = target;
  }
  return best;
}

function isBetterPrefixTarget(target: TargetView, than: TargetView): boolean {
  if (target.prefixTokens !== than.prefixTokens)
    return target.prefixTokens > than.prefixTokens;
  return (
    reportedRequests(target) + target.ownSinceReport <
    reportedRequests(than) + than.ownSinceReport
  );
}

interface PoolSummary {
  readonly meanOutstanding: number;
}

function summarize(targets: readonly TargetView[]): PoolSummary {
  const total = targets.reduce(
    (sum, target) => sum + reportedRequests(target),
    0
  );
  return {meanOutstanding: total / targets.length};
}

function reportedRequests(target: TargetView): number {
  return target.reportedOutstanding + target.reportedQueued;
}

/** A target that isn't warm gets no request beyond its limit. */
function hasFreeSlot(target: TargetView): boolean {
  if (target.temperature === 'warm') return true;
  const known = reportedRequests(target) + target.ownSinceReport;
  return Math.max(known, target.ownOutstanding) < target.limit;
}

/** Draws distinct targets with probability proportional to `returnWeight`. */
function sample(
  targets: readonly TargetView[],
  random: () => number
): readonly TargetView[] {
  if (targets.length <= SAMPLE_SIZE) return targets;
  const drawn = new Set<TargetView>();
  for (let i = 0; i < SAMPLE_SIZE * 4 && drawn.size < SAMPLE_SIZE; i++) {
    const target = targets[Math.floor(random() * targets.length)];
    if (target === undefined) continue;
    if (random() < (target.returnWeight ?? 1)) drawn.add(target);
  }
  return drawn.size === 0 ? targets : [...drawn];
}

function lowestScore(
  req: RoutedRequest,
  targets: readonly TargetView[],
  pool: PoolSummary
): TargetView | undefined {
  let best: TargetView | undefined;
  let bestScore = Infinity;
  for (const target of targets) {
    const value = score(req, target, pool);
    if (value >= bestScore) continue;
    best = target;
    bestScore = value;
  }
  return best;
}

/**
 * Estimates the requests at the target: the older its report, the more the mean of
 * the pool counts instead.
 */
function expectedOutstanding(target: TargetView, pool: PoolSummary): number {
  const reportWeight = Math.pow(0.5, target.reportAgeMs / REPORT_HALF_LIFE_MS);
  const estimate =
    reportWeight * reportedRequests(target) +
    (1 - reportWeight) * pool.meanOutstanding;
  return Math.max(target.ownOutstanding, estimate + target.ownSinceReport);
}

/** Scores a target; its `load` term is 1 when it runs up to its limit. */
function score(
  req: RoutedRequest,
  target: TargetView,
  pool: PoolSummary
): number {
  const fullCost = requestCost(req);
  const uncachedRatio = requestCost(req, target.prefixTokens) / fullCost;
  const prompts = (target.ownPromptTokens ?? 0) / PROMPT_TOKENS_PER_REQUEST;
  const requests =
    (expectedOutstanding(target, pool) + uncachedRatio) / target.limit;
  const waiting = Math.max(0, requests - 1);
  const load =
    requests - waiting + waiting * WAITING_WEIGHT + prompts / target.limit;
  const remote = target.availabilityZone === req.availabilityZone ? 0 : 1;
  return (
    (UNLOADED_SCORE + load) * Math.max(1, target.groupStraggle) +
    remote * REMOTE_ZONE_SCORE +
    target.recentFailures * FAILURE_SCORE
  );
}
