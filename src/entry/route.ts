/** Chooses the next target for a call among those that may take new work. */

import {
  TargetView,
  chooseSampledTarget,
  requestCost,
} from '../policy/sampledTargetChoice';
import {BLOCK_CHARS, estimateTokens} from '../core/promptPrefix';
import type {Announcement} from '../core/wire';
import type {ClassifiedCall} from './call';
import type {EntryCore} from './entryCore';

const TOKENS_PER_BLOCK = estimateTokens(' '.repeat(BLOCK_CHARS));

/** The chosen target and the cost of the call there, or why there is none. */
export type RouteResult =
  | {
      readonly kind: 'target';
      readonly target: Announcement;
      readonly cost: number;
    }
  | {readonly kind: 'none'; readonly detail: string};

/**
 * Chooses among the targets that are not in `tried`. With a model version, as
 * for a stream that is resumed, only targets of that version qualify.
 */
export function route(
  core: EntryCore,
  call: ClassifiedCall,
  tried: ReadonlySet<string>,
  modelVersion?: string
): RouteResult {
  const nowMs = performance.now();
  const inPool = core.sync.directory
    .list()
    .filter(target => target.pool === call.pool);
  const serving = inPool.filter(
    target =>
      target.state === 'serving' &&
      holdsModel(call, target) &&
      (modelVersion === undefined || target.modelVersion === modelVersion)
  );
  const inServiceZones = serving.filter(
    target => !call.rules.isZoneOut(target.availabilityZone)
  );
  const untried = inServiceZones.filter(target => !tried.has(target.targetId));
  const groupSlowdowns = maxSlowdownByGroup(inPool);
  const views = untried.map(target =>
    viewOf(core, call, target, groupSlowdowns, nowMs)
  );
  const chosen = chooseSampledTarget(
    {
      promptTokens: call.chat?.promptTokens ?? 0,
      outputTokens: call.chat?.outputTokens ?? 0,
      availabilityZone: core.availabilityZone,
    },
    views,
    core.random
  );
  const target = untried.find(
    candidate => candidate.targetId === chosen?.targetId
  );
  if (target === undefined) {
    const detail = `${inPool.length} targets known, ${serving.length} serving, ${inServiceZones.length} in zones in service, ${untried.length} untried`;
    return {kind: 'none', detail};
  }
  return {kind: 'target', target, cost: costOf(call, target)};
}

/**
 * Where rules list the models of a pool, its targets hold different ones, and
 * any other target would respond with another model. Without such rules, every
 * target of the pool qualifies.
 */
function holdsModel(
  {rules, pool, chat}: ClassifiedCall,
  {model}: Announcement
): boolean {
  const requestedModel = chat?.model;
  if (requestedModel === undefined || rules.serveRules(pool).length === 0)
    return true;
  return model === requestedModel;
}

/**
 * Ranks of a group run each pass in lock-step, so the slowest one delays all.
 */
function maxSlowdownByGroup(
  targets: readonly Announcement[]
): ReadonlyMap<string, number> {
  const slowdowns = new Map<string, number>();
  for (const {group, slowdown = 1} of targets) {
    if (group === undefined) continue;
    slowdowns.set(group.id, Math.max(slowdown, slowdowns.get(group.id) ?? 1));
  }
  return slowdowns;
}

function viewOf(
  core: EntryCore,
  call: ClassifiedCall,
  target: Announcement,
  groupSlowdowns: ReadonlyMap<string, number>,
  nowMs: number
): TargetView {
  const {group, slowdown = 1, availabilityZone} = target;
  const groupSlowdown =
    group === undefined ? 1 : (groupSlowdowns.get(group.id) ?? 1);
  return core.load.view(
    target,
    core.sync.directory.agesOf(target, nowMs),
    {
      prefixTokens: cachedTokens(call, target),
      groupStraggle: Math.max(slowdown, groupSlowdown),
      returnWeight: core.zoneReturns.weight(availabilityZone, nowMs),
    },
    nowMs
  );
}

function costOf(call: ClassifiedCall, target: Announcement): number {
  return call.chat === undefined
    ? 1
    : requestCost(call.chat, cachedTokens(call, target));
}

/** Prompt tokens in the longest prefix of blocks that the target has cached. */
function cachedTokens({chat}: ClassifiedCall, target: Announcement): number {
  if (chat === undefined || target.prefixes === undefined) return 0;
  const cached = new Set(target.prefixes);
  const firstMissing = chat.prefixes.findIndex(prefix => !cached.has(prefix));
  const cachedBlocks = firstMissing < 0 ? chat.prefixes.length : firstMissing;
  return Math.min(chat.promptTokens, cachedBlocks * TOKENS_PER_BLOCK);
}
