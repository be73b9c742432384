/** Holds a dispatch that was sent under rules which this agent has yet to get. */

import {Observable, filter, firstValueFrom, race, timer} from 'rxjs';
import type {CancelSignal} from '../core/cancellation';
import {Refusal, refuse} from '../core/refusal';
import type {Dispatch} from '../core/wire';

/**
 * Covers two polls of control with the default interval. Shorter than the time
 * for which a leaving agent keeps its port open, so that it still answers every
 * dispatch that waits here.
 */
const MAX_WAIT_MS = 1_000;
/** Part of the remaining time to wait at most; the rest is for other targets. */
const MAX_WAIT_RATIO = 1 / 3;

/** What the wait reads from its agent. */
export interface RevisionView {
  readonly targetId: string;
  /** Emits the applied rules, first those that are applied now. */
  readonly rules$: Observable<{readonly revision: number} | undefined>;
  /** See `admissionRefusal`. */
  refusal(dispatch: Dispatch): Refusal | undefined;
}

/**
 * Waits while nothing but an older revision keeps the dispatch from starting.
 * Resolves with the dispatch and its remaining time; the gate decides on it.
 * Rejects with RefusalError when the caller has gone meanwhile.
 */
export async function awaitRevision(
  view: RevisionView,
  dispatch: Dispatch,
  signal: CancelSignal
): Promise<Dispatch> {
  if (!lacksOnlyRevision(view, dispatch)) return dispatch;
  const {revision, remainingMs} = dispatch;
  const limitMs = Math.min(MAX_WAIT_MS, remainingMs * MAX_WAIT_RATIO);
  const startedAtMs = performance.now();
  const applied = view.rules$.pipe(
    filter(rules => rules !== undefined && rules.revision >= revision)
  );
  await firstValueFrom<unknown>(race(applied, timer(limitMs)));
  if (signal.aborted)
    throw refuse(
      'deadline-passed',
      'gate',
      view.targetId,
      'the caller went away'
    );
  const waitedMs = performance.now() - startedAtMs;
  return {...dispatch, remainingMs: Math.max(0, remainingMs - waitedMs)};
}

function lacksOnlyRevision(view: RevisionView, dispatch: Dispatch): boolean {
  if (view.refusal(dispatch)?.reason !== 'rules-unproven') return false;
  return view.refusal({...dispatch, revision: 0}) === undefined;
}
