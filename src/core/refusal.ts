/**
 * Every reason for which marlpulley refuses a request, and whether the request
 * may have run nonetheless.
 */

/** Whether the request can have taken effect at its target. */
export type RunOutcome = 'not run' | 'outcome unknown';

interface RefusalKind {
  /** HTTP status sent to the caller. */
  readonly status: number;
  readonly outcome: RunOutcome;
  /** Whether the caller may retry: a retry is safe and can succeed. */
  readonly retryable: boolean;
  /** Whether the entry itself may retry at another target. */
  readonly tryElsewhere: boolean;
  readonly meaning: string;
}

const kind = (
  status: number,
  outcome: RunOutcome,
  retryable: boolean,
  tryElsewhere: boolean,
  meaning: string
): RefusalKind => ({status, outcome, retryable, tryElsewhere, meaning});

/** The table of refusals; docs/OPERATORS.md and docs/CALLERS.md list the same. */
export const REFUSALS = {
  'malformed-request': kind(
    400,
    'not run',
    false,
    false,
    'the request is not valid HTTP or JSON'
  ),
  'body-too-large': kind(
    413,
    'not run',
    false,
    false,
    'the body exceeds the configured size'
  ),
  'body-timeout': kind(
    408,
    'not run',
    true,
    false,
    'the body did not come before the deadline'
  ),
  'unknown-customer': kind(
    401,
    'not run',
    false,
    false,
    'no known customer was named'
  ),
  'no-route': kind(
    404,
    'not run',
    false,
    false,
    'no rule sends this customer, path and model to a pool'
  ),
  'key-required': kind(
    400,
    'not run',
    false,
    false,
    'a non-idempotent call needs an Idempotency-Key'
  ),
  'key-conflict': kind(
    422,
    'not run',
    false,
    false,
    'the key was used with another request'
  ),
  // The record of an earlier request under the key may have been pruned.
  'key-expired': kind(
    409,
    'outcome unknown',
    false,
    false,
    'the key is older than the retention; an earlier request may have run'
  ),
  'key-record-full': kind(
    503,
    'not run',
    true,
    false,
    'no more keys can be recorded for this customer'
  ),
  'in-progress': kind(
    409,
    'outcome unknown',
    true,
    false,
    'the same key is being worked on'
  ),
  'outcome-unknown': kind(
    502,
    'outcome unknown',
    false,
    false,
    'the request may have run; its answer was lost'
  ),
  'stream-cut': kind(
    502,
    'outcome unknown',
    true,
    false,
    'the stream was lost and could not be resumed at the exact token'
  ),
  'customer-limit': kind(
    429,
    'not run',
    true,
    false,
    'the customer is over its own limit'
  ),
  overloaded: kind(503, 'not run', true, true, 'the queue is full'),
  'deadline-too-short': kind(
    503,
    'not run',
    true,
    true,
    'the queue is longer than the deadline allows'
  ),
  'deadline-passed': kind(
    504,
    'not run',
    true,
    false,
    'the deadline passed while the request was queued'
  ),
  'timed-out': kind(
    504,
    'outcome unknown',
    false,
    false,
    'the target did not begin to answer before the deadline'
  ),
  'no-target': kind(
    503,
    'not run',
    true,
    false,
    'no target of the pool may take new work'
  ),
  'rules-unproven': kind(
    503,
    'not run',
    true,
    true,
    'the process cannot prove that its rules are current'
  ),
  'zone-out': kind(
    503,
    'not run',
    true,
    true,
    'the availability zone is out of service'
  ),
  'target-leaving': kind(503, 'not run', true, true, 'the target is leaving'),
  'target-cold': kind(
    503,
    'not run',
    true,
    true,
    'the target is in a cold start and full'
  ),
  'target-changed': kind(
    503,
    'not run',
    true,
    true,
    'the agent or target restarted since it was chosen'
  ),
  'peer-version': kind(
    503,
    'not run',
    true,
    true,
    'the process beside the target speaks another protocol version'
  ),
  'target-unreachable': kind(
    502,
    'not run',
    true,
    true,
    'no connection; no byte was sent'
  ),
  'claim-fenced': kind(
    409,
    'not run',
    true,
    false,
    'the claim was settled as not run before it arrived'
  ),
  'control-unavailable': kind(
    503,
    'not run',
    true,
    false,
    'the key could not be agreed on a quorum'
  ),
  draining: kind(503, 'not run', true, true, 'the process is shutting down'),
} as const satisfies Record<string, RefusalKind>;

/** Name of a refusal, as used in headers, bodies, logs and counters. */
export type RefusalReason = keyof typeof REFUSALS;

/** Step of the request path at which a refusal arose. */
export type Step =
  | 'receive'
  | 'identify'
  | 'classify'
  | 'admit'
  | 'claim'
  | 'route'
  | 'dispatch'
  | 'gate'
  | 'target'
  | 'answer'
  | 'settle';

/** A refusal, as sent from agent to entry and on to the caller. */
export interface Refusal {
  readonly reason: RefusalReason;
  readonly step: Step;
  /** Id of the process or target at which it arose. */
  readonly peer: string;
  /** Human-readable; never parsed. */
  readonly detail: string;
  /** Milliseconds after which a retry may succeed. */
  readonly retryAfterMs?: number;
}

/**
 * Thrown by filters and gates; only the HTTP server turns it into a response.
 */
export class RefusalError extends Error {
  constructor(readonly refusal: Refusal) {
    super(
      `${refusal.reason} at ${refusal.step} (${refusal.peer}): ${refusal.detail}`
    );
    this.name = 'RefusalError';
  }
}

/** Creates a RefusalError. */
export function refuse(
  reason: RefusalReason,
  step: Step,
  peer: string,
  detail: string,
  retryAfterMs?: number
): RefusalError {
  return new RefusalError({reason, step, peer, detail, retryAfterMs});
}
