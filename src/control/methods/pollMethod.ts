/** Handles polls of entries and agents with the state of this instance only. */

import type {PollAnswer, PollRequest} from '../../core/wire';
import {pollRequest} from '../../rpc/messages';
import type {RpcMethod} from '../../rpc/peerServer';
import type {ControlContext} from '../controlContext';

/** The `poll` method. */
export function pollMethod(
  context: ControlContext
): RpcMethod<PollRequest, PollAnswer> {
  return {params: pollRequest, handle: request => answerPoll(context, request)};
}

function answerPoll(context: ControlContext, request: PollRequest): PollAnswer {
  const {log, members, instanceId, bootId} = context;
  const nowMs = performance.now();
  members.expire(nowMs);
  const known = members.handlePoll(request, nowMs);
  const status = log.status();
  return {
    instanceId,
    bootId,
    voter: status.voter,
    voterCount: status.voterIds.length,
    term: status.term,
    leaderId: status.leaderId,
    lastRevision: lastRevision(context),
    ...newerRules(context, request),
    announceAgain: request.role === 'agent' ? !known : undefined,
    usageAgain: recordUsage(context, request, nowMs),
    members:
      request.role === 'entry'
        ? memberChanges(context, request, nowMs)
        : undefined,
  };
}

function recordUsage(
  {usage}: ControlContext,
  {bootId, usage: rows, usagePart = false}: PollRequest,
  nowMs: number
): boolean | undefined {
  if (rows === undefined) return undefined;
  return !usage.report(bootId, rows, usagePart, nowMs);
}

/**
 * The committed rules when they are newer than those that the process holds, as
 * a difference where that is shorter.
 */
function newerRules(
  {state, recentRules}: ControlContext,
  {heldRevision, takesDiff}: PollRequest
): Pick<PollAnswer, 'rules' | 'rulesDiff'> {
  const {revision, text} = state.rules;
  recentRules.setCurrent({revision, text});
  if (revision <= heldRevision) return {};
  const rulesDiff = takesDiff ? recentRules.diffFrom(heldRevision) : undefined;
  return rulesDiff === undefined ? {rules: {revision, text}} : {rulesDiff};
}

/**
 * The highest revision in the log, including submissions that are not known to
 * be committed. They may already be accepted, with the copy of this instance as
 * one of the majority.
 */
function lastRevision({log, state}: ControlContext): number {
  let highest = state.rules.revision;
  for (const command of log.uncommitted()) {
    if (command.kind === 'submit' && command.revision > highest)
      highest = command.revision;
  }
  return highest;
}

function memberChanges(
  {entryViews, zones, bootId}: ControlContext,
  request: PollRequest,
  nowMs: number
): PollAnswer['members'] {
  const held = request.membership;
  const since = held?.bootId === bootId ? held.version : undefined;
  return entryViews.changesFor(request, since, zones.current(), nowMs);
}
