/**
 * Sends evidence to one other node, one call at a time. What comes meanwhile waits for
 * the next call and shares it, so that the calls do not grow with the crashes.
 */

import type {RequestEvidence} from '../policy/quarantine/crashCounts';

/** Delays before a failed call is repeated: packets are lost, and nodes freeze. */
const RESEND_DELAYS_MS = [50, 200, 800];

/** The evidence of one call, and the nodes that the receiver forwards it to. */
export interface NoticeCall {
  readonly evidence: readonly RequestEvidence[];
  readonly forwardTo: readonly string[];
}

/** The outcome of a call. */
export type Delivery =
  | 'delivered'
  /** The machine of the node refused the connection: its process has ended. */
  | 'ended'
  /** The node may run without having got it. */
  | 'failed';

interface Pending extends NoticeCall {
  readonly failures: number;
  /** Called after the first try. */
  onTried(delivery: Delivery): void;
}

/** Evidence for one node. */
export class NoticeOutbox {
  private pending: Pending[] = [];
  private isSending = false;

  constructor(private readonly send: (call: NoticeCall) => Promise<Delivery>) {}

  /** Resolves with the outcome of the first call with it. */
  add(call: NoticeCall): Promise<Delivery> {
    return new Promise(onTried => {
      this.pending.push({...call, failures: 0, onTried});
      void this.flush();
    });
  }

  private async flush(): Promise<void> {
    if (this.isSending) return;
    this.isSending = true;
    while (this.pending.length > 0) {
      const batch = this.pending;
      this.pending = [];
      await this.sendBatch(batch);
    }
    this.isSending = false;
  }

  private async sendBatch(batch: readonly Pending[]): Promise<void> {
    const evidence = batch.flatMap(call => call.evidence);
    const forwardTo = [...new Set(batch.flatMap(call => call.forwardTo))];
    const delivery = await this.send({evidence, forwardTo});
    for (const call of batch) {
      call.onTried(delivery);
      if (delivery !== 'delivered') this.resendLater(call);
    }
  }

  private resendLater(call: Pending): void {
    const delayMs = RESEND_DELAYS_MS[call.failures];
    if (delayMs === undefined) return;
    setTimeout(() => {
      this.pending.push({...call, failures: call.failures + 1});
      void this.flush();
    }, delayMs).unref();
  }
}
