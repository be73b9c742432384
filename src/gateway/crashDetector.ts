/**
 * Detects that a target crashed under requests of this node. A broken response alone
 * shows no crash: the target may have broken off only that one, or it may have stalled
 * because of another rank of its group.
 */

import type {RequestTry} from '../policy/quarantine/crashCounts';
import type {TargetRecord} from '../site/announcement';
import type {TargetStatus} from './probeTarget';

/** A request, with what may crash its target. */
export interface ExposingRequest {
  /** Ids of the parts of its prompt that other requests may have. */
  readonly parts: readonly string[];
  readonly request: RequestTry;
}

/** A request at a target. */
export interface HeldRequest extends ExposingRequest {
  readonly target: TargetRecord;
  /** Whether its response ran long enough to show that the target can serve it. */
  isServed: boolean;
}

/** The end of one boot of a target under requests of this node. */
export interface TargetCrash {
  readonly target: TargetRecord;
  /** Time of the first response that broke off. */
  readonly atMs: number;
  /** Requests of this node that the target held. */
  readonly requests: readonly RequestTry[];
  /** Parts of the prompts that may have caused it. */
  readonly parts: readonly string[];
}

/** Dependencies of the detector. */
export interface CrashDetectorParts {
  probe(address: string): Promise<TargetStatus>;
  /** Resolves once callers may be answered. */
  onCrash(crash: TargetCrash): Promise<void>;
}

/** For so long, a target may still run a cancelled request. */
const CANCELLED_MS = 1_000;

/** What is known of one boot of a target. */
interface BootState {
  readonly requests: Set<HeldRequest>;
  /** When this node last received data of a response. */
  respondedAtMs: number;
}

/** Requests at targets, by the boot of the target. */
export class CrashDetector {
  private readonly held = new Map<string, BootState>();
  /** Probes in progress, and boots that are known to have crashed. */
  private readonly statuses = new Map<string, Promise<TargetStatus>>();

  constructor(private readonly parts: CrashDetectorParts) {}

  /** Notes a request until `release` is called with it. */
  hold(target: TargetRecord, evidence: ExposingRequest): HeldRequest {
    const request = {...evidence, target, isServed: false};
    const boot = bootOf(target);
    const state = this.held.get(boot) ?? newBootState();
    this.held.set(boot, state);
    state.requests.add(request);
    return request;
  }

  release(request: HeldRequest): void {
    const boot = bootOf(request.target);
    const requests = this.held.get(boot)?.requests;
    requests?.delete(request);
    if (requests?.size === 0) this.held.delete(boot);
  }

  /**
   * Releases a cancelled request after a delay: its target may still crash under it.
   * If the target sends no response in that time, it is probed.
   */
  releaseCancelled(request: HeldRequest, nowMs: number): void {
    const release = async () => {
      const state = this.held.get(bootOf(request.target));
      const isSilent = state === undefined || state.respondedAtMs < nowMs;
      if (isSilent) await this.hasCrashed(request, nowMs);
      this.release(request);
    };
    setTimeout(() => void release(), CANCELLED_MS).unref();
  }

  /** Notes that a target sends a response. */
  noteResponse(target: TargetRecord, nowMs: number): void {
    const state = this.held.get(bootOf(target));
    if (state !== undefined) state.respondedAtMs = nowMs;
  }

  /**
   * Finds out whether the target crashed, after the response to this request broke
   * off; the request must still be held.
   */
  async hasCrashed({target}: HeldRequest, nowMs: number): Promise<boolean> {
    const boot = bootOf(target);
    const known = this.statuses.get(boot);
    if (known !== undefined) return (await known) === 'notListening';
    const status = this.examine(target, nowMs);
    this.statuses.set(boot, status);
    if ((await status) === 'notListening') return true;
    this.statuses.delete(boot);
    return false;
  }

  private async examine(
    target: TargetRecord,
    nowMs: number
  ): Promise<TargetStatus> {
    const requests = [...(this.held.get(bootOf(target))?.requests ?? [])];
    const status = await this.parts.probe(target.address);
    if (status !== 'notListening') return status;
    const suspects = requests.filter(({isServed}) => !isServed);
    await this.parts.onCrash({
      target,
      atMs: nowMs,
      requests: requests.map(({request}) => request),
      parts: [...new Set(suspects.flatMap(({parts}) => parts))],
    });
    return status;
  }

  /** Evicts the boots of targets that are not in `records`. */
  retainTargets(records: readonly TargetRecord[]): void {
    if (this.statuses.size === 0) return;
    const boots = new Set(records.map(bootOf));
    for (const boot of this.statuses.keys())
      if (!boots.has(boot)) this.statuses.delete(boot);
  }
}

function newBootState(): BootState {
  return {requests: new Set(), respondedAtMs: -Infinity};
}

function bootOf({id, bornMs}: TargetRecord): string {
  return `${id}/${bornMs}`;
}
