/**
 * The leader's contact with instances that do not vote. When the voters are a
 * small part of all instances, they may be a majority of themselves on the
 * smaller side of a partition. There the leader must neither commit nor change
 * the voters.
 */

import type {CoreState, Leadership} from './coreState';
import type {Voter} from './entry';
import type {ReplyOf} from './messages';
import {sendHello} from './replication';

/**
 * Age of the last message after which contact counts as lost. Reports arrive
 * every 100 to 900 ms and a request times out after one second, so that one lost
 * report and one lost probe do not stop commits.
 */
const CONTACT_TIMEOUT_MS = 3_000;
/** An instance without a message for this long is probed. */
const PROBE_AFTER_MS = 1_000;
/** Interval between two probes of one instance. */
const PROBE_INTERVAL_MS = 500;

/** Contact with instances, as tracked by the leader. */
export interface MemberContact {
  /** This instance, the voters and all known instances. */
  known: ReadonlySet<string>;
  /** Leader's clock when it sent the latest request that was answered. */
  readonly answeredAt: Map<string, number>;
  /** Leader's clock at the last probe; the probe's round is the same number. */
  readonly probedAt: Map<string, number>;
}

/** Contact at the start of a leadership. */
export function newMemberContact(): MemberContact {
  return {known: new Set(), answeredAt: new Map(), probedAt: new Map()};
}

/** Whether the voter limit is in force for the known instances. */
export function isLimited(state: CoreState, leadership: Leadership): boolean {
  const {voterLimit} = state.options;
  if (voterLimit === undefined) return false;
  return leadership.contact.known.size > voterLimit.maxVoters;
}

/**
 * Updates the known instances. None is forgotten while contact is lost, or the
 * smaller side of a partition would count as all instances after a while.
 */
export function updateKnown(state: CoreState, leadership: Leadership): void {
  const {contact} = leadership;
  const current = [
    state.options.id,
    ...state.voters.map(({id}) => id),
    ...state.options.peerIds(),
  ];
  const kept = hasMajorityContact(state, leadership) ? [] : contact.known;
  contact.known = new Set([...current, ...kept]);
}

/** Whether more than half of the known instances were heard within `withinMs`. */
export function hasMajorityContact(
  state: CoreState,
  leadership: Leadership,
  withinMs = CONTACT_TIMEOUT_MS
): boolean {
  if (!isLimited(state, leadership)) return true;
  const {known} = leadership.contact;
  let count = 0;
  for (const id of known)
    if (
      id === state.options.id ||
      hasRecentContact(state, leadership, id, withinMs)
    )
      count++;
  return 2 * count > known.size;
}

/** Whether an instance was heard within `withinMs`. */
export function hasRecentContact(
  state: CoreState,
  leadership: Leadership,
  id: string,
  withinMs = CONTACT_TIMEOUT_MS
): boolean {
  const since = state.now - withinMs;
  return lastContactAt(state, leadership, id) > since;
}

function lastContactAt(
  state: CoreState,
  {contact}: Leadership,
  id: string
): number {
  const reportedAt = state.options.voterLimit?.lastReportMs(id) ?? -Infinity;
  return Math.max(contact.answeredAt.get(id) ?? -Infinity, reportedAt);
}

/** Records that an instance answered a request that was sent at `sentAt`. */
export function noteAnswer(
  {contact}: Leadership,
  id: string,
  sentAt: number
): void {
  const earlier = contact.answeredAt.get(id) ?? -Infinity;
  contact.answeredAt.set(id, Math.max(earlier, sentAt));
}

/** Records the reply to a probe of this leadership. */
export function onProbeReply(
  leadership: Leadership,
  from: string,
  message: ReplyOf<'hello'>
): void {
  const sentAt = leadership.contact.probedAt.get(from);
  if (sentAt !== undefined && message.round === Math.floor(sentAt))
    noteAnswer(leadership, from, sentAt);
}

/** Probes instances whose last message is old. */
export function probeMembers(state: CoreState, leadership: Leadership): void {
  if (!isLimited(state, leadership)) return;
  const {contact, progress} = leadership;
  for (const id of contact.known) {
    // Heartbeats probe the others.
    if (id === state.options.id || progress.has(id)) continue;
    if (state.now - lastContactAt(state, leadership, id) < PROBE_AFTER_MS)
      continue;
    const probedAt = contact.probedAt.get(id) ?? -Infinity;
    if (state.now - probedAt < PROBE_INTERVAL_MS) continue;
    contact.probedAt.set(id, state.now);
    sendHello(state, id, Math.floor(state.now));
  }
}

/** Whether a voter has not replied for so long that it is to be removed. */
export function isSilent(
  state: CoreState,
  {progress}: Leadership,
  voter: Voter
): boolean {
  const {voterEviction} = state.options;
  if (voterEviction === undefined || state.isSelf(voter)) return false;
  const lastReplyAt = progress.get(voter.id)?.lastReplyAt ?? 0;
  return state.now - lastReplyAt >= voterEviction.silentMs;
}

/** Whether every voter answered a recent request of this leadership. */
export function doAllVotersAnswer(
  state: CoreState,
  {contact}: Leadership
): boolean {
  const since = state.now - CONTACT_TIMEOUT_MS;
  return state.voters.every(
    voter =>
      state.isSelf(voter) ||
      (contact.answeredAt.get(voter.id) ?? -Infinity) > since
  );
}
