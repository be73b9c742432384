/** Puts the answers of several control instances together. */

import type {ProcessStatus, StatusAnswer} from '../core/operatorAnswers';
import type {Announcement} from '../core/wire';
import type {ClusterStatus, SilentInstance} from './controlClient';

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

function newest(answers: readonly StatusAnswer[]): StatusAnswer | undefined {
  return [...answers].sort((a, b) => b.revision - a.revision)[0];
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
    instances: answers.map(answer => answer.instance),
    revision: newest(answers)?.revision ?? 0,
    rulesText: newest(answers)?.rulesText ?? '',
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
