/** What the operators' client asks of the control instances. */

import type {LogRole} from '../control/log/replicatedLog';
import type {SubmitResult} from '../control/state/command';
import type {Announcement, CustomerUsage} from '../core/wire';

/** One control instance, as it tells of itself. */
export interface InstanceStatus {
  readonly id: string;
  readonly role: LogRole;
  readonly term: number;
  /** False until a wiped instance holds everything again. */
  readonly voter: boolean;
  readonly commitIndex: number;
}

/** An entry or agent, as a control instance hears it. */
export interface ProcessStatus {
  readonly processId: string;
  readonly role: 'entry' | 'agent';
  readonly availabilityZone: string;
  readonly heldRevision: number;
  /** Milliseconds since its last poll. */
  readonly pollAgeMs: number;
  /** Milliseconds since its rules were last proven current, if ever. */
  readonly provenAgeMs?: number;
}

/** What one instance knows; of the instances it lists at least itself. */
export interface StatusAnswer {
  readonly instances: readonly InstanceStatus[];
  /** The revision committed there. */
  readonly revision: number;
  readonly processes: readonly ProcessStatus[];
  readonly targets: readonly Announcement[];
}

/** An instance that gave no answer. */
export interface SilentInstance {
  readonly id: string;
  readonly reason: string;
}

/** The answers of all instances, put together. */
export interface ClusterStatus extends StatusAnswer {
  readonly silent: readonly SilentInstance[];
}

/** The file in force; revision 0 and no text before the first. */
export interface RulesAnswer {
  readonly revision: number;
  readonly text: string;
}

/** Use by customer since the deployment began. */
export interface UsageAnswer {
  readonly customers: readonly CustomerUsage[];
}

/** Calls to the control plane as a whole. */
export interface ControlClient {
  /** Safe to call again with the same text after a lost answer. */
  submit(text: string, submittedBy: string): Promise<SubmitResult>;
  status(): Promise<ClusterStatus>;
  rules(): Promise<RulesAnswer>;
  usage(): Promise<UsageAnswer>;
  close(): void;
}

/** No instance gave a usable answer. */
export class ControlUnavailableError extends Error {
  constructor(
    step: string,
    readonly silent: readonly SilentInstance[],
    /** Whether some instance may have taken the call all the same. */
    readonly mayHaveTakenEffect: boolean
  ) {
    const reasons = silent.map(({id, reason}) => `  ${id}: ${reason}`);
    super([`${step}: no control instance answered`, ...reasons].join('\n'));
    this.name = 'ControlUnavailableError';
  }
}
