/**
 * The peers to which the leader sends. Without a voter limit, or with few
 * instances, these are all peers. Otherwise they are the voters, the instance
 * that is about to become a voter, and removed voters until they know of it.
 */

import type {CoreState, Leadership} from './coreState';
import {
  hasRecentContact,
  isLimited,
  isSilent,
  updateKnown,
} from './memberContact';
import {newProgress} from './replication';
import type {VoterPool} from './voterChoice';
import {nextVoter} from './voterChoice';

/** A candidate without a reply for this long is passed over. */
const CANDIDATE_TIMEOUT_MS = 3_000;
/** Time for which an instance that was passed over is not chosen again. */
const PASSED_OVER_MS = 10_000;

/** Updates the peers to which the leader sends. */
export function updateAudience(state: CoreState, leadership: Leadership): void {
  const {voterLimit} = state.options;
  if (voterLimit !== undefined) updateKnown(state, leadership);
  if (!isLimited(state, leadership)) {
    leadership.candidate = undefined;
    const voterIds = state.voters.map(({id}) => id);
    addPeers(state, leadership, [...state.options.peerIds(), ...voterIds]);
    return;
  }
  updateCandidate(state, leadership);
  const ids = limitedAudience(state, leadership);
  for (const id of leadership.progress.keys())
    if (!ids.has(id)) leadership.progress.delete(id);
  addPeers(state, leadership, [...ids]);
}

function addPeers(
  state: CoreState,
  {progress}: Leadership,
  ids: readonly string[]
): void {
  for (const id of ids) {
    if (progress.has(id) || id === state.options.id) continue;
    const voter = state.voters.find(voter => voter.id === id);
    progress.set(id, newProgress(state, voter?.incarnation));
  }
}

function limitedAudience(
  state: CoreState,
  leadership: Leadership
): ReadonlySet<string> {
  const {candidate, progress, removedAt} = leadership;
  const ids = new Set(state.voters.map(({id}) => id));
  for (const [id, index] of removedAt)
    if (ids.has(id) || (progress.get(id)?.matchIndex ?? 0) >= index)
      removedAt.delete(id);
  if (candidate !== undefined) ids.add(candidate);
  for (const id of state.options.peerIds()) if (removedAt.has(id)) ids.add(id);
  return ids;
}

/**
 * Handles a vote request of an instance that does not vote any more. It was
 * removed while it was away; the log up to its removal ends its elections.
 */
export function noteRemovedVoter(
  state: CoreState,
  id: string,
  incarnation: string
): void {
  const {leadership} = state;
  if (leadership === undefined || !isLimited(state, leadership)) return;
  const isVoter = state.voters.some(voter => voter.incarnation === incarnation);
  if (!isVoter) leadership.removedAt.set(id, state.log.configuration().index);
}

/** Keeps the candidate while it replies and is still needed. */
function updateCandidate(state: CoreState, leadership: Leadership): void {
  passOverSilentCandidate(state, leadership);
  const pool = reachablePool(state, leadership);
  const {candidate} = leadership;
  const next = nextVoter(pool);
  const isKept =
    candidate !== undefined &&
    next !== undefined &&
    pool.others.includes(candidate) &&
    pool.zoneOf(candidate) === pool.zoneOf(next);
  if (!isKept) leadership.candidate = next;
}

/** The pool without instances that are gone, which can't become voters. */
export function reachablePool(
  state: CoreState,
  leadership: Leadership
): VoterPool {
  const pool = voterPool(state, leadership);
  return {
    ...pool,
    others: pool.others.filter(id => hasRecentContact(state, leadership, id)),
  };
}

function passOverSilentCandidate(
  state: CoreState,
  leadership: Leadership
): void {
  const {candidate, progress, passedOverAt} = leadership;
  if (candidate === undefined) return;
  const lastReplyAt = progress.get(candidate)?.lastReplyAt ?? state.now;
  if (state.now - lastReplyAt >= CANDIDATE_TIMEOUT_MS)
    passedOverAt.set(candidate, state.now);
}

/** The voters and the instances that may become voters. */
export function voterPool(state: CoreState, leadership: Leadership): VoterPool {
  const {voterLimit, voterEviction, peerIds} = state.options;
  const voters = state.voters.map(({id}) => id);
  const isVoter = new Set(voters);
  const minVoters = voterEviction?.minVoters ?? 0;
  return {
    voters,
    others: peerIds().filter(
      id => !isVoter.has(id) && !isPassedOver(state, leadership, id)
    ),
    maxVoters: voterLimit?.maxVoters ?? Infinity,
    minVoters,
    needsReplacement:
      voters.length <= minVoters && hasSilentVoter(state, leadership),
    zoneOf: id => voterLimit?.zoneOf(id),
  };
}

function isPassedOver(
  state: CoreState,
  {passedOverAt}: Leadership,
  id: string
): boolean {
  return state.now - (passedOverAt.get(id) ?? -Infinity) < PASSED_OVER_MS;
}

function hasSilentVoter(state: CoreState, leadership: Leadership): boolean {
  return state.voters.some(voter => isSilent(state, leadership, voter));
}
