/**
 * Chooses the target of one request from a partial and lagging view.
 *
 * The score of a target is the work it is expected to hold, this request
 * included, over what it may run at once. The lowest score of a small random
 * sample wins, so that entries with the same old view don't all pick the same
 * target.
 */

import type {Temperature} from '../core/wire';

/** What one entry knows of one target when it routes one request. */
export interface TargetView {
  readonly targetId: string;
  readonly availabilityZone: string;
  readonly temperature: Temperature;
  /** Requests that the target may run at once now; 0 takes it out. */
  readonly limit: number;
  readonly reportedOutstanding: number;
  readonly reportedQueued: number;
  /** Tokens in work and waiting, as last reported; 0 for plain services. */
  readonly reportedTokens: number;
  /** Milliseconds since the target made that report. */
  readonly reportAgeMs: number;
  /** Requests of this entry that the target has not yet answered. */
  readonly ownOutstanding: number;
  /** Cost of those requests, see `requestCost`. */
  readonly ownTokens: number;
  /** Requests that this entry has sent there since the report was made. */
  readonly ownSinceReport: number;
  /** Prompt tokens sent a moment ago, see `promptsLeft`; 0 if absent. */
  readonly ownPromptTokens?: number;
  /** Prompt tokens of this request believed to be cached there. */
  readonly prefixTokens: number;
  /** Failed attempts of this entry there in the last seconds. */
  readonly recentFailures: number;
  /** Step time of its rank group over the usual one; 1 for no straggler. */
  readonly groupStraggle: number;
  /** Part of the normal share while its zone returns, 0 to 1; 1 if absent. */
  readonly returnWeight?: number;
}

/** What routing knows of a request. */
export interface RoutedRequest {
  /** 0 for plain services. */
  readonly promptTokens: number;
  /** Expected output tokens; 0 for plain services. */
  readonly outputTokens: number;
  /** Zone of the entry. */
  readonly availabilityZone: string;
}

/** A prompt token against an output token: prefill runs many at a time. */
const PROMPT_TOKEN_COST = 0.1;
/** Cost of a call to a plain service. */
const SERVICE_COST = 1;
/** Age at which a report counts for half, the mean of the pool for the rest. */
const REPORT_HALF_LIFE_MS = 8000;
/**
 * Step time of an empty target, in the step time that a full batch adds. A
 * straggler is slow with one request already, so it must count without load.
 */
const UNLOADED_SCORE = 1;
/**
 * Prompt tokens still to be taken in that weigh as much as a running request.
 * A running request slows the step a little; a prompt ahead makes the new one
 * wait for its first token.
 */
const PROMPT_TOKENS_A_REQUEST = 250;
/**
 * A request that waits at a gate, in running ones. The gate serves by share, so
 * that the backlog of a flood delays nobody else; in full, its chance would
 * outweigh all that does delay a small customer there.
 */
const WAITING_WEIGHT = 0.1;
/** Targets compared for each request. */
const SAMPLE_SIZE = 3;
/** Added to the score for leaving the zone, in parts of a full target. */
const REMOTE_ZONE_SCORE = 0.02;
/** Added to the score for each recent failure, in parts of a full target. */
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

/** The target to send the request to; undefined when none may take work. */
export function chooseTarget(
  req: RoutedRequest,
  targets: readonly TargetView[],
  random: () => number
): TargetView | undefined {
  const usable = targets.filter(target => target.limit > 0);
  if (usable.length === 0) return undefined;
  const withRoom = usable.filter(hasRoom);
  const candidates = withRoom.length > 0 ? withRoom : usable;
  const pool = summarize(usable);
  const sampled = sample(candidates, random);
  const cached = prefixHolder(candidates);
  const compared = cached === undefined ? sampled : [...sampled, cached];
  return lowestScore(req, compared, pool);
}

/**
 * The least loaded of the targets that hold most of the prompt. A sample
 * would miss it more often than not, and it can still lose to a lower load.
 */
function prefixHolder(targets: readonly TargetView[]): TargetView | undefined {
  let best: TargetView | undefined;
  for (const target of targets) {
    if (target.prefixTokens === 0 || (target.returnWeight ?? 1) < 1) continue;
    if (best === undefined || holdsMore(target, best)) best = target;
  }
  return best;
}

function holdsMore(target: TargetView, than: TargetView): boolean {
  if (target.prefixTokens !== than.prefixTokens)
    return target.prefixTokens > than.prefixTokens;
  return (
    reported(target) + target.ownSinceReport <
    reported(than) + than.ownSinceReport
  );
}

interface PoolSummary {
  readonly meanOutstanding: number;
}

function summarize(targets: readonly TargetView[]): PoolSummary {
  const total = targets.reduce((sum, target) => sum + reported(target), 0);
  return {meanOutstanding: total / targets.length};
}

function reported(target: TargetView): number {
  return target.reportedOutstanding + target.reportedQueued;
}

/** A target that isn't warm gets no request beyond its limit from here. */
function hasRoom(target: TargetView): boolean {
  if (target.temperature === 'warm') return true;
  const known = reported(target) + target.ownSinceReport;
  return Math.max(known, target.ownOutstanding) < target.limit;
}

/** Distinct targets, drawn in proportion to their return weight. */
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

/** Expected requests at the target, weighted by what is known and how old. */
function expectedOutstanding(target: TargetView, pool: PoolSummary): number {
  const trust = Math.pow(0.5, target.reportAgeMs / REPORT_HALF_LIFE_MS);
  const estimate =
    trust * reported(target) + (1 - trust) * pool.meanOutstanding;
  return Math.max(target.ownOutstanding, estimate + target.ownSinceReport);
}

/** Work per unit of capacity; 1 is a target that runs all it may. */
function score(
  req: RoutedRequest,
  target: TargetView,
  pool: PoolSummary
): number {
  const full = requestCost(req);
  const part = requestCost(req, target.prefixTokens) / full;
  const prompts = (target.ownPromptTokens ?? 0) / PROMPT_TOKENS_A_REQUEST;
  const requests = (expectedOutstanding(target, pool) + part) / target.limit;
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
