/**
 * Decides whether a request may start at this target now. All requests to the
 * target pass here, so every condition for new work is checked here: zone out,
 * leaving, proven rules, and the boot that the dispatch was sent to. Pure.
 */

import {Refusal, RefusalReason} from '../core/refusal';
import type {Dispatch} from '../core/wire';
import type {RuleIndex} from '../rules/ruleIndex';
import type {Freshness} from '../sync/freshness';

/** State of the agent at the time of the decision. */
export interface AdmissionView {
  readonly targetId: string;
  readonly agentBootId: string;
  readonly availabilityZone: string;
  readonly leaving: boolean;
  /** Whether the target is changing its model. */
  readonly changing: boolean;
  readonly rules: RuleIndex | undefined;
  readonly freshness: Freshness;
  /** Whether the last probe succeeded and reported the target as ready. */
  readonly targetReady: boolean;
}

const RETRY_AFTER_MS = 500;

/** The refusal, or undefined when the request may start. */
export function admissionRefusal(
  view: AdmissionView,
  dispatch: Pick<Dispatch, 'agentBootId' | 'revision'>
): Refusal | undefined {
  const refusal = (reason: RefusalReason, detail: string): Refusal => ({
    reason,
    step: 'gate',
    peer: view.targetId,
    detail,
    retryAfterMs: RETRY_AFTER_MS,
  });
  if (view.leaving) return refusal('target-leaving', 'the target is leaving');
  if (view.changing)
    return refusal('target-changed', 'the target changes model');
  // A dispatch to an earlier boot may have been delayed by any time.
  if (dispatch.agentBootId !== view.agentBootId) {
    return refusal('target-changed', 'the agent restarted since it was chosen');
  }
  const {rules} = view;
  if (rules === undefined)
    return refusal('rules-unproven', 'no rules known yet');
  if (dispatch.revision > rules.revision) {
    return refusal(
      'rules-unproven',
      `the entry has revision ${dispatch.revision}, here ${rules.revision}`
    );
  }
  if (view.freshness.kind === 'unproven') {
    return refusal(
      'rules-unproven',
      'no quorum of control confirmed the rules'
    );
  }
  if (rules.isZoneOut(view.availabilityZone)) {
    return refusal('zone-out', `${view.availabilityZone} is out`);
  }
  if (!view.targetReady)
    return refusal('target-cold', 'the target does not answer or is loading');
  return undefined;
}
