/** What the operators' client asks of the control instances. */

import type {
  InstanceStatus,
  ProcessStatus,
  SubmitAnswer,
  UsageAnswer,
} from '../core/operatorAnswers';
import type {Announcement} from '../core/wire';

/** An instance that gave no answer. */
export interface SilentInstance {
  readonly id: string;
  readonly reason: string;
}

/** The status answers of all instances, put together. */
export interface ClusterStatus {
  readonly instances: readonly InstanceStatus[];
  readonly silent: readonly SilentInstance[];
  /** 0 before the first accepted file. */
  readonly revision: number;
  readonly rulesText: string;
  readonly processes: readonly ProcessStatus[];
  readonly targets: readonly Announcement[];
}

/** Calls to the control plane as a whole. */
export interface ControlClient {
  /** Safe to call again with the same text after a lost answer. */
  submit(text: string): Promise<SubmitAnswer>;
  status(): Promise<ClusterStatus>;
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
    super(
      [`${step}: no control instance gave a usable answer`, ...reasons].join(
        '\n'
      )
    );
    this.name = 'ControlUnavailableError';
  }
}
