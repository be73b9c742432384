/** Advances the commit index and compacts the log. */

import type {CoreState} from './coreState';

/** Commits all entries up to `index` and emits them to be applied in order. */
export function advanceCommit(state: CoreState, index: number): void {
  if (index <= state.commitIndex) return;
  const entries = state.log.between(state.commitIndex, index);
  state.commitIndex = index;
  state.emit({kind: 'apply', entries});
}

/**
 * Handles a snapshot that the local state machine took at `index`: persists it
 * and compacts the log behind it.
 */
export function onSnapshotTaken(
  state: CoreState,
  index: number,
  data: string
): void {
  const term = state.log.termAt(index);
  const snapshotIndex = state.log.snapshot?.index ?? 0;
  if (term === undefined || index <= snapshotIndex || index > state.commitIndex)
    return;
  const {configuration} = state.log.configuration(index);
  const snapshot = {index, term, configuration, data};
  const baseIndex = Math.max(
    state.log.baseIndex,
    index - state.options.trailingEntries
  );
  const base = {index: baseIndex, term: state.log.termAt(baseIndex) ?? 0};
  state.log.compact(snapshot, base);
  state.persist({
    kind: 'snapshot',
    snapshot,
    keepAfter: base,
    resetLog: false,
  });
}
