/** Chooses the next target for a call among those that may take new work. */

import {TargetView, chooseTarget, requestCost} from '../policy/balance';
import {BLOCK_CHARS, estimateTokens} from '../core/promptPrefix';
import type {Announcement} from '../core/wire';
import type {ClassifiedCall} from './call';
import type {EntryCore} from './entryCore';

const TOKENS_PER_BLOCK = estimateTokens(' '.repeat(BLOCK_CHARS));

/** Why no target could be chosen. */
export type RouteResult =
  | {
      readonly kind: 'target';
      readonly target: Announcement;
      readonly cost: number;
    }
  | {readonly kind: 'none'; readonly detail: string};

/**
 * `tried` are targets that this call has had already. A stream goes on only
 * at the model version that began it.
 */
export function route(
  core: EntryCore,
  call: ClassifiedCall,
  tried: ReadonlySet<string>,
  modelVersion?: string
): RouteResult {
  const nowMs = performance.now();
  const pooled = core.sync.directory
    .list()
    .filter(target => target.pool === call.pool);
  const serving = pooled.filter(
    target =>
      target.state === 'serving' &&
      holdsModel(call, target) &&
      (modelVersion === undefined || target.modelVersion === modelVersion)
  );
  const inZones = serving.filter(
    target => !call.rules.isZoneOut(target.availabilityZone)
  );
  const open = inZones.filter(target => !tried.has(target.targetId));
  const straggle = straggleByGroup(pooled);
  const views = open.map(target => viewOf(core, call, target, straggle, nowMs));
  const chosen = chooseTarget(
    {
      promptTokens: call.chat?.promptTokens ?? 0,
      outputTokens: call.chat?.outputTokens ?? 0,
      availabilityZone: core.availabilityZone,
    },
    views,
    core.random
  );
  const target = open.find(
    candidate => candidate.targetId === chosen?.targetId
  );
  if (target === undefined) {
    const detail = `${pooled.length} targets known, ${serving.length} serving, ${inZones.length} in zones in service, ${open.length} untried`;
    return {kind: 'none', detail};
  }
  return {kind: 'target', target, cost: costOf(call, target)};
}

/**
 * Where rules say which models a pool serves, its targets hold different ones:
 * at another target the caller would get another model's answer.
 */
function holdsModel(
  {rules, pool, chat}: ClassifiedCall,
  {model}: Announcement
): boolean {
  const wanted = chat?.model;
  if (wanted === undefined || rules.serves(pool).length === 0) return true;
  return model === wanted;
}

/** The ranks of a group step together: the slowest sets the pace of all. */
function straggleByGroup(
  targets: readonly Announcement[]
): ReadonlyMap<string, number> {
  const straggle = new Map<string, number>();
  for (const {group, slowdown = 1} of targets) {
    if (group === undefined) continue;
    straggle.set(group.id, Math.max(slowdown, straggle.get(group.id) ?? 1));
  }
  return straggle;
}

function viewOf(
  core: EntryCore,
  call: ClassifiedCall,
  target: Announcement,
  straggle: ReadonlyMap<string, number>,
  nowMs: number
): TargetView {
  const {group, slowdown = 1, availabilityZone} = target;
  const ofGroup = group === undefined ? 1 : (straggle.get(group.id) ?? 1);
  return core.load.view(
    target,
    core.sync.directory.agesOf(target, nowMs),
    {
      prefixTokens: cachedTokens(call, target),
      groupStraggle: Math.max(slowdown, ofGroup),
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

/** Tokens of the longest leading run of blocks that the target has cached. */
function cachedTokens({chat}: ClassifiedCall, target: Announcement): number {
  if (chat === undefined || target.prefixes === undefined) return 0;
  const held = new Set(target.prefixes);
  const missing = chat.prefixes.findIndex(prefix => !held.has(prefix));
  const blocks = missing < 0 ? chat.prefixes.length : missing;
  return Math.min(chat.promptTokens, blocks * TOKENS_PER_BLOCK);
}
