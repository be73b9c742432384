/** Moves the commit index and hands out what became committed. */

import type {CoreState} from './coreState';

/** Commits up to `index`; the entries are to be applied in order. */
export function advanceCommit(state: CoreState, index: number): void {
  if (index <= state.commitIndex) return;
  const entries = state.log.between(state.commitIndex, index);
  state.commitIndex = index;
  state.emit({kind: 'apply', entries});
}

/** Takes in the state machine's own snapshot and shortens the log. */
export function onSnapshotTaken(
  state: CoreState,
  index: number,
  data: string
): void {
  const term = state.log.termAt(index);
  const held = state.log.snapshot?.index ?? 0;
  if (term === undefined || index <= held || index > state.commitIndex) return;
  const {configuration} = state.log.configuration(index);
  const snapshot = {index, term, configuration, data};
  const keep = Math.max(
    state.log.baseIndex,
    index - state.options.trailingEntries
  );
  const base = {index: keep, term: state.log.termAt(keep) ?? 0};
  state.log.compact(snapshot, base);
  state.persist({
    kind: 'snapshot',
    snapshot,
    keepAfter: base,
    resetLog: false,
  });
}
