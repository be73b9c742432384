/**
 * Lowers the concurrency limit of a group at once and raises it slowly.
 *
 * Passes show only a second later what a higher limit costs, and streams that were
 * admitted too many cannot be taken back. An idle group has no streams to protect,
 * so its limit opens at once.
 */

/** Part of the limit by which it may rise in a second. */
const MAX_RISE_PER_SECOND = 0.25;
/**
 * Up to this part of the bound, the limit rises at once while passes are in time. After
 * a lost leader or an outage all callers return together, and a group that opens
 * slowly would refuse most of them although it has room.
 */
const OPEN_RATIO = 0.85;
/** A group with fewer requests is idle. */
const MIN_BUSY_REQUESTS = 4;
/** Least time between two changes of the limit's direction. */
const MIN_TURN_INTERVAL_MS = 250;
/** Room above the limit, as part of it, that is worth a change of direction. */
const MIN_ROOM_RATIO = 0.02;
/**
 * What the limit can rise in the time between two changes of direction. A fall of
 * the bound by less than that may wait for the end of that time.
 */
const MAX_DEFERRED_FALL_RATIO =
  (MAX_RISE_PER_SECOND * MIN_TURN_INTERVAL_MS) / 1_000;

/** What one step of the limit depends on. */
export interface LimitRiseInput {
  /** Requests that can be served in time, by the current estimate. */
  readonly bound: number;
  /** Requests in the group, at the nodes that have reported. */
  readonly running: number;
  /** Whether all nodes have reported to this leader. */
  readonly hasAllReports: boolean;
  /** Whether passes are measured, in time, and not delayed by a map switch. */
  readonly isServedInTime: boolean;
  readonly nowMs: number;
}

/** Limit of one group, and what its next step depends on. */
export type LimitRise =
  /** Nodes report to a new leader one after the other. */
  | {readonly kind: 'collecting'; readonly limit: number}
  | {
      readonly kind: 'following';
      readonly limit: number;
      readonly isRising: boolean;
      /** Time of the last step. */
      readonly atMs: number;
      /** Time since which the bound has left room for a rise. */
      readonly roomSinceMs: number;
      /** Time of the last change from falling to rising. */
      readonly turnedUpAtMs: number;
    };

type FollowingLimit = Extract<LimitRise, {readonly kind: 'following'}>;

/** Limit after this step; `state` is undefined for a group that is new. */
export function nextLimitRise(
  state: LimitRise | undefined,
  input: LimitRiseInput
): LimitRise {
  if (state?.kind === 'following') return follow(state, input);
  return input.hasAllReports ? open(state, input) : collect(state, input);
}

function collect(
  state: LimitRise | undefined,
  {bound, running}: LimitRiseInput
): LimitRise {
  // Nodes that have not reported run requests too: a lower limit would take their
  // slots away and refuse callers until all of them have reported.
  const known = Math.max(state?.limit ?? 0, running, bound * OPEN_RATIO);
  return {kind: 'collecting', limit: Math.min(bound, known)};
}

function open(
  state: LimitRise | undefined,
  {bound, running, nowMs}: LimitRiseInput
): LimitRise {
  const isIdle = running < MIN_BUSY_REQUESTS;
  const known = Math.max(state?.limit ?? 0, running);
  return {
    kind: 'following',
    limit: isIdle ? bound : Math.min(bound, known),
    isRising: false,
    atMs: nowMs,
    roomSinceMs: nowMs,
    turnedUpAtMs: -Infinity,
  };
}

function follow(state: FollowingLimit, input: LimitRiseInput): FollowingLimit {
  const {bound, nowMs} = input;
  if (bound < state.limit) return fall(state, input);
  const hasRoom = state.isRising || bound >= state.limit * (1 + MIN_ROOM_RATIO);
  const roomSinceMs = hasRoom ? state.roomSinceMs : nowMs;
  const next = {...state, atMs: nowMs, roomSinceMs};
  const mayRise =
    input.hasAllReports &&
    input.isServedInTime &&
    (state.isRising || nowMs - roomSinceMs >= MIN_TURN_INTERVAL_MS);
  return mayRise ? rise(next, bound, nowMs - state.atMs) : next;
}

function fall(
  state: FollowingLimit,
  {bound, nowMs}: LimitRiseInput
): FollowingLimit {
  const next = {...state, atMs: nowMs, roomSinceMs: nowMs};
  const hasJustTurned = nowMs - state.turnedUpAtMs < MIN_TURN_INTERVAL_MS;
  const isSmall = state.limit - bound <= state.limit * MAX_DEFERRED_FALL_RATIO;
  if (hasJustTurned && isSmall) return next;
  return {...next, limit: bound, isRising: false};
}

function rise(
  state: FollowingLimit,
  bound: number,
  elapsedMs: number
): FollowingLimit {
  const {limit, isRising, atMs} = state;
  // A gap between two steps must not be made up for at once.
  const stepMs = Math.min(elapsedMs, MIN_TURN_INTERVAL_MS);
  const raised = limit * (1 + MAX_RISE_PER_SECOND) ** (stepMs / 1_000);
  return {
    ...state,
    limit: Math.min(bound, Math.max(raised, bound * OPEN_RATIO)),
    isRising: true,
    turnedUpAtMs: isRising ? state.turnedUpAtMs : atMs,
  };
}
