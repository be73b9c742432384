/**
 * Whether a request may start at this target now. Pure: every promise about
 * new work (zones, leaving, current rules, this very boot) is checked here, at
 * the one place through which all work to the target passes.
 */

import {Refusal, RefusalReason} from '../core/refusal';
import type {Dispatch} from '../core/wire';
import type {RuleIndex} from '../rules/ruleIndex';
import type {Freshness} from '../sync/freshness';

/** What the agent knows when it decides. */
export interface AdmissionView {
  readonly targetId: string;
  readonly agentBootId: string;
  readonly availabilityZone: string;
  readonly leaving: boolean;
  /** Whether the target is being given another model. */
  readonly changing: boolean;
  readonly rules: RuleIndex | undefined;
  readonly freshness: Freshness;
  /** Whether the target answered its last observation and is ready. */
  readonly targetReady: boolean;
}

const RETRY_SOON_MS = 500;

/** The refusal, or undefined when the request may start. */
export function admissionRefusal(
  view: AdmissionView,
  dispatch: Pick<Dispatch, 'agentBootId' | 'revision'>
): Refusal | undefined {
  const no = (reason: RefusalReason, detail: string): Refusal => ({
    reason,
    step: 'gate',
    peer: view.targetId,
    detail,
    retryAfterMs: RETRY_SOON_MS,
  });
  if (view.leaving) return no('target-leaving', 'the target is leaving');
  if (view.changing) return no('target-changed', 'the target changes model');
  // A dispatch meant for an earlier boot may be arbitrarily late.
  if (dispatch.agentBootId !== view.agentBootId) {
    return no('target-changed', 'the agent restarted since it was chosen');
  }
  const {rules} = view;
  if (rules === undefined) return no('rules-unproven', 'no rules known yet');
  if (dispatch.revision > rules.revision) {
    return no(
      'rules-unproven',
      `the entry has revision ${dispatch.revision}, here ${rules.revision}`
    );
  }
  if (view.freshness.kind === 'unproven') {
    return no('rules-unproven', 'no quorum of control confirmed the rules');
  }
  if (rules.isZoneOut(view.availabilityZone)) {
    return no('zone-out', `${view.availabilityZone} is out`);
  }
  if (!view.targetReady)
    return no('target-cold', 'the target does not answer or is loading');
  return undefined;
}
