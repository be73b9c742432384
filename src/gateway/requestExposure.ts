/** One attempt of a request, as evidence on which requests targets can serve. */

import type {TargetRecord} from '../site/announcement';
import type {AttemptEnd, ResponseTrace} from './attemptEnd';
import type {HeldRequest, ExposingRequest} from './crashDetector';
import type {Gateway} from './gateway';

/** A stream that ran for so long after its first event is no cause of a crash. */
const SERVED_AFTER_MS = 1_000;

/** A target exposed to a request. */
export class RequestExposure {
  private readonly held: HeldRequest;
  private firstEventAtMs: number | undefined;
  private isCancelled = false;

  constructor(
    private readonly gateway: Gateway,
    private readonly target: TargetRecord,
    private readonly exposing: ExposingRequest
  ) {
    this.held = gateway.crashes.hold(target, exposing);
  }

  /** Notes an event of the response stream. */
  noteEvent(nowMs: number): void {
    this.gateway.crashes.noteResponse(this.target, nowMs);
    this.firstEventAtMs ??= nowMs;
    if (this.held.isServed || nowMs - this.firstEventAtMs < SERVED_AFTER_MS)
      return;
    this.noteServed(nowMs);
  }

  /**
   * Notes how the attempt ended. Resolves with whether the request may have crashed the
   * target, and may not be sent to the next one. All nodes know of a crash by then.
   */
  async noteEnd(end: AttemptEnd, {endUnmarked}: ResponseTrace) {
    this.isCancelled = end.kind === 'stopped';
    if (end.kind === 'lost') return this.isInDoubt();
    if (end.kind === 'cut') void this.hasCrashed();
    if (endUnmarked === true) void this.hasCrashed();
    else if (end.kind === 'answered') {
      this.gateway.crashes.noteResponse(this.target, performance.now());
      this.noteServed(performance.now());
      const {digest} = this.exposing.request;
      this.gateway.crashedRequests?.noteServed(digest);
    }
    return false;
  }

  private noteServed(nowMs: number): void {
    this.held.isServed = true;
    this.gateway.quarantine?.noteServed(
      this.target.service,
      this.exposing.parts,
      nowMs
    );
  }

  private hasCrashed(): Promise<boolean> {
    return this.gateway.crashes.hasCrashed(this.held, performance.now());
  }

  private async isInDoubt(): Promise<boolean> {
    if (!(await this.hasCrashed())) return false;
    const {quarantine, crashedRequests} = this.gateway;
    const {request} = this.exposing;
    if (crashedRequests?.isExhausted(request) === true) return true;
    if (this.held.isServed) return false;
    const {service} = this.target;
    return (
      quarantine?.isInDoubt(service, this.exposing.parts, performance.now()) ??
      false
    );
  }

  /** Ends the exposure. */
  end(): void {
    const {crashes} = this.gateway;
    if (this.isCancelled && !this.held.isServed)
      crashes.releaseCancelled(this.held, performance.now());
    else crashes.release(this.held);
  }
}
