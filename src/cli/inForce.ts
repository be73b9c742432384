/** Follows an accepted revision until every process holds it. */

import {firstValueFrom, timer} from 'rxjs';
import type {ProcessStatus} from '../core/operatorAnswers';
import type {ClusterStatus, ControlClient} from './controlClient';
import type {Print} from './runCommand';

/** Time between two looks at the status. */
const LOOK_EVERY_MS = 200;
/** A process silent for longer is not waited for, only named. */
const SILENT_AFTER_MS = 3000;

/** How a process stands towards a revision. */
export type Standing = 'in force' | 'behind' | 'silent';

/** Standing of one process; it holds the revision or a later one in force. */
export function standingOf(process: ProcessStatus, revision: number): Standing {
  if (process.heldRevision >= revision) return 'in force';
  return process.pollAgeMs > SILENT_AFTER_MS ? 'silent' : 'behind';
}

/** Remembers who was seen, since control forgets a silent process. */
export class InForceTracker {
  private readonly seen = new Map<string, ProcessStatus>();
  private readonly confirmed = new Set<string>();

  constructor(private readonly revision: number) {}

  /** Takes a status in; returns the processes newly in force. */
  update(status: ClusterStatus): readonly ProcessStatus[] {
    const listed = new Set(status.processes.map(item => item.processId));
    for (const [id, process] of this.seen)
      if (!listed.has(id)) this.seen.set(id, {...process, pollAgeMs: Infinity});
    for (const process of status.processes)
      this.seen.set(process.processId, process);
    const fresh = this.withStanding('in force').filter(
      ({processId}) => !this.confirmed.has(processId)
    );
    for (const {processId} of fresh) this.confirmed.add(processId);
    return fresh;
  }

  /** In force is kept: no process goes back to an older revision. */
  withStanding(standing: Standing): readonly ProcessStatus[] {
    return [...this.seen.values()].filter(
      process => standingOf(process, this.revision) === standing
    );
  }

  get count(): number {
    return this.seen.size;
  }
}

/** A later one is held after another submission, or since control lost all. */
function laterHeld(process: ProcessStatus, revision: number): string {
  const {heldRevision} = process;
  return heldRevision > revision ? `, holds ${heldRevision} already` : '';
}

function describe({processId, role, availabilityZone}: ProcessStatus): string {
  return `${role} ${processId} in ${availabilityZone}`;
}

function printLaggards(tracker: InForceTracker, print: Print): void {
  for (const process of tracker.withStanding('behind'))
    print(`behind: ${describe(process)} holds ${process.heldRevision}`);
  for (const process of tracker.withStanding('silent'))
    print(
      `silent: ${describe(process)}; it takes no new work until it has the rules in force`
    );
}

/**
 * Prints each process as it puts the revision in force. Resolves with whether
 * all did before the time was up; names those that did not.
 */
export async function followInForce(
  client: ControlClient,
  revision: number,
  timeoutMs: number,
  print: Print
): Promise<boolean> {
  const startedAt = performance.now();
  const tracker = new InForceTracker(revision);
  for (;;) {
    const status = await client.status().catch(() => undefined);
    const elapsedMs = performance.now() - startedAt;
    for (const process of status === undefined ? [] : tracker.update(status))
      print(
        `in force: ${describe(process)} (${Math.round(elapsedMs)} ms${laterHeld(process, revision)})`
      );
    const behind = tracker.withStanding('behind').length;
    const silent = tracker.withStanding('silent').length;
    if (status !== undefined && behind === 0 && silent === 0) {
      print(
        `revision ${revision} is in force on all ${tracker.count} processes`
      );
      return true;
    }
    if (elapsedMs >= timeoutMs) break;
    await firstValueFrom(timer(LOOK_EVERY_MS));
  }
  printLaggards(tracker, print);
  print(
    `revision ${revision} is accepted, but was not seen everywhere in ${timeoutMs} ms; it will be, with nothing more to do`
  );
  return false;
}
