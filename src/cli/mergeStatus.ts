/** Puts the answers of several control instances together. */

import type {Announcement} from '../core/wire';
import type {
  ClusterStatus,
  InstanceStatus,
  ProcessStatus,
  SilentInstance,
  StatusAnswer,
} from './controlClient';

/** The best item of each id, by first appearance. */
function bestById<T>(
  items: Iterable<T>,
  id: (item: T) => string,
  better: (candidate: T, known: T) => boolean
): readonly T[] {
  const best = new Map<string, T>();
  for (const item of items) {
    const known = best.get(id(item));
    if (known === undefined || better(item, known)) best.set(id(item), item);
  }
  return [...best.values()];
}

function heardLater(candidate: ProcessStatus, known: ProcessStatus): boolean {
  return candidate.pollAgeMs < known.pollAgeMs;
}

function announcedLater(candidate: Announcement, known: Announcement): boolean {
  if (candidate.agentBootId === known.agentBootId)
    return candidate.seq > known.seq;
  return candidate.agentBootAtMs > known.agentBootAtMs;
}

function furtherOn(candidate: InstanceStatus, known: InstanceStatus): boolean {
  if (candidate.term !== known.term) return candidate.term > known.term;
  return candidate.commitIndex > known.commitIndex;
}

/**
 * One view of all answers. An instance that was cut off still answers with an
 * old revision and with targets that have left since; so the highest revision
 * counts, and each process and target is taken from whoever heard it last.
 */
export function mergeStatus(
  answers: readonly StatusAnswer[],
  silent: readonly SilentInstance[]
): ClusterStatus {
  return {
    instances: bestById(
      answers.flatMap(answer => answer.instances),
      item => item.id,
      furtherOn
    ),
    revision: Math.max(0, ...answers.map(answer => answer.revision)),
    processes: bestById(
      answers.flatMap(answer => answer.processes),
      item => item.processId,
      heardLater
    ),
    targets: bestById(
      answers.flatMap(answer => answer.targets),
      item => item.targetId,
      announcedLater
    ),
    silent,
  };
}
