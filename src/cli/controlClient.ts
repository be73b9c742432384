/** Interface of the operators' client to the control plane. */

import type {
  InstanceStatus,
  ProcessStatus,
  SubmitAnswer,
  UsageAnswer,
} from '../core/operatorMessages';
import type {Announcement} from '../core/wire';

/** A control instance whose call failed, and why. */
export interface FailedInstance {
  readonly id: string;
  readonly reason: string;
}

/**
 * Status of the deployment, merged from the replies of all control instances.
 */
export interface ClusterStatus {
  readonly instances: readonly InstanceStatus[];
  /** Instances that returned no status. */
  readonly silent: readonly FailedInstance[];
  /** Active revision of the rules; 0 before the first accepted file. */
  readonly revision: number;
  readonly rulesText: string;
  readonly processes: readonly ProcessStatus[];
  readonly targets: readonly Announcement[];
}

/**
 * Calls to the control plane; the implementation chooses the instances to call.
 */
export interface ControlClient {
  /**
   * Submits a rule file. Idempotent: safe to repeat with the same text after a
   * lost reply.
   */
  submit(text: string): Promise<SubmitAnswer>;
  status(): Promise<ClusterStatus>;
  usage(): Promise<UsageAnswer>;
  close(): void;
}

/** Thrown when no control instance returned a usable reply. */
export class ControlUnavailableError extends Error {
  constructor(
    method: string,
    readonly silent: readonly FailedInstance[],
    /**
     * Whether an instance may have applied the call although its reply was
     * lost.
     */
    readonly mayHaveTakenEffect: boolean
  ) {
    const reasons = silent.map(({id, reason}) => `  ${id}: ${reason}`);
    super(
      [`${method}: no control instance gave a usable answer`, ...reasons].join(
        '\n'
      )
    );
    this.name = 'ControlUnavailableError';
  }
}
