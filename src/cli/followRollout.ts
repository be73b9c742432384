/**
 * Follows the rollout of an accepted revision until it is active on every
 * process.
 */

import {firstValueFrom, timer} from 'rxjs';
import type {ProcessStatus} from '../core/operatorMessages';
import type {ClusterStatus, ControlClient} from './controlClient';
import type {Print} from './runCommand';

/** Interval between two status queries. */
const STATUS_POLL_INTERVAL_MS = 200;
/** A process that has not polled for longer is reported as silent. */
const SILENT_THRESHOLD_MS = 3000;

/**
 * Whether a revision is active on a process; shown as "standing" by `status`.
 */
export type RolloutState = 'in force' | 'behind' | 'silent';

/** State of one process; a later active revision counts as well. */
export function rolloutStateOf(
  process: ProcessStatus,
  revision: number
): RolloutState {
  if (process.heldRevision >= revision) return 'in force';
  return process.pollAgeMs > SILENT_THRESHOLD_MS ? 'silent' : 'behind';
}

/**
 * Tracks every process ever listed, as control drops silent processes from its
 * status.
 */
export class RolloutTracker {
  private readonly seen = new Map<string, ProcessStatus>();
  private readonly reportedActive = new Set<string>();

  constructor(private readonly revision: number) {}

  /**
   * Applies a status; returns the processes on which the revision is newly
   * active.
   */
  update(status: ClusterStatus): readonly ProcessStatus[] {
    const listed = new Set(status.processes.map(item => item.processId));
    for (const [id, process] of this.seen)
      if (!listed.has(id)) this.seen.set(id, {...process, pollAgeMs: Infinity});
    for (const process of status.processes)
      this.seen.set(process.processId, process);
    const newlyActive = this.inState('in force').filter(
      ({processId}) => !this.reportedActive.has(processId)
    );
    for (const {processId} of newlyActive) this.reportedActive.add(processId);
    return newlyActive;
  }

  /**
   * Processes in the given state. 'in force' is final, as a process never
   * reverts to an older revision.
   */
  inState(state: RolloutState): readonly ProcessStatus[] {
    return [...this.seen.values()].filter(
      process => rolloutStateOf(process, this.revision) === state
    );
  }

  /** Number of processes listed so far. */
  get count(): number {
    return this.seen.size;
  }
}

/**
 * A process may hold a later revision after another submission, or because
 * control lost all its state.
 */
function newerRevisionNote(process: ProcessStatus, revision: number): string {
  const {heldRevision} = process;
  return heldRevision > revision ? `, holds ${heldRevision} already` : '';
}

function describeProcess({
  processId,
  role,
  availabilityZone,
}: ProcessStatus): string {
  return `${role} ${processId} in ${availabilityZone}`;
}

function printLaggards(tracker: RolloutTracker, print: Print): void {
  for (const process of tracker.inState('behind'))
    print(`behind: ${describeProcess(process)} holds ${process.heldRevision}`);
  for (const process of tracker.inState('silent'))
    print(
      `silent: ${describeProcess(process)}; it takes no new work until it has the rules in force`
    );
}

/**
 * Prints each process once the revision is active on it. Resolves with true when
 * it is active on all. After the timeout, prints the remaining processes and
 * resolves with false.
 */
export async function followRollout(
  client: ControlClient,
  revision: number,
  timeoutMs: number,
  print: Print
): Promise<boolean> {
  const startedAt = performance.now();
  const tracker = new RolloutTracker(revision);
  for (;;) {
    const status = await client.status().catch(() => undefined);
    const elapsedMs = performance.now() - startedAt;
    for (const process of status === undefined ? [] : tracker.update(status))
      print(
        `in force: ${describeProcess(process)} (${Math.round(elapsedMs)} ms${newerRevisionNote(process, revision)})`
      );
    const behind = tracker.inState('behind').length;
    const silent = tracker.inState('silent').length;
    if (status !== undefined && behind === 0 && silent === 0) {
      print(
        `revision ${revision} is in force on all ${tracker.count} processes`
      );
      return true;
    }
    if (elapsedMs >= timeoutMs) break;
    await firstValueFrom(timer(STATUS_POLL_INTERVAL_MS));
  }
  printLaggards(tracker, print);
  print(
    `revision ${revision} is accepted, but was not seen everywhere in ${timeoutMs} ms; it will be, with nothing more to do`
  );
  return false;
}
