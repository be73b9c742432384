/** Merges the status replies of several control instances. */

import type {ProcessStatus, StatusAnswer} from '../core/operatorMessages';
import type {Announcement} from '../core/wire';
import type {ClusterStatus, FailedInstance} from './controlClient';

/**
 * Keeps the best item of each id, in the order in which the ids first appear.
 */
function bestById<T>(
  items: Iterable<T>,
  id: (item: T) => string,
  isBetter: (candidate: T, known: T) => boolean
): readonly T[] {
  const best = new Map<string, T>();
  for (const item of items) {
    const known = best.get(id(item));
    if (known === undefined || isBetter(item, known)) best.set(id(item), item);
  }
  return [...best.values()];
}

function polledLater(candidate: ProcessStatus, known: ProcessStatus): boolean {
  return candidate.pollAgeMs < known.pollAgeMs;
}

function announcedLater(candidate: Announcement, known: Announcement): boolean {
  if (candidate.agentBootId === known.agentBootId)
    return candidate.seq > known.seq;
  return candidate.agentBootAtMs > known.agentBootAtMs;
}

function highestRevision(
  answers: readonly StatusAnswer[]
): StatusAnswer | undefined {
  return [...answers].sort((a, b) => b.revision - a.revision)[0];
}

/**
 * Merges the replies into one status. A partitioned instance still replies, with
 * an old revision and with targets that have left since. The result therefore
 * has the highest revision, and the latest known state of each process and
 * target.
 */
export function mergeStatus(
  answers: readonly StatusAnswer[],
  silent: readonly FailedInstance[]
): ClusterStatus {
  return {
    instances: answers.map(answer => answer.instance),
    revision: highestRevision(answers)?.revision ?? 0,
    rulesText: highestRevision(answers)?.rulesText ?? '',
    processes: bestById(
      answers.flatMap(answer => answer.processes),
      item => item.processId,
      polledLater
    ),
    targets: bestById(
      answers.flatMap(answer => answer.targets),
      item => item.targetId,
      announcedLater
    ),
    silent,
  };
}
