/** Messages and helpers for the tests of map switches. */

import type {RankAction} from '../src/agent/maps/rankMapSwitchEvents';
import type {SwitchAction} from '../src/control/maps/mapSwitchEvents';
import type {ExpertMap, PrepareMessage} from '../src/core/mapMessages';
import {versionOf} from '../src/core/mapMessages';

/** A map of one expert on one rank. */
export const MAP: ExpertMap = {slots: [[0]], shares: [[1]]};
/** Group of all messages. */
export const GROUP = 'g';
/** The nth map version under a fence. */
export const versionAt = (fence: number, nth: number) => versionOf(fence, nth);

/** A prepare message for a switch at pass 20. */
export function prepare(fence: number, nth: number): PrepareMessage {
  const version = versionAt(fence, nth);
  return {
    kind: 'prepare',
    group: GROUP,
    fence,
    version,
    switchStep: 20,
    map: MAP,
  };
}

/** A decision message. */
export function decision(fence: number, nth: number, what: 'commit' | 'abort') {
  const version = versionAt(fence, nth);
  return {
    kind: 'decision',
    group: GROUP,
    fence,
    version,
    decision: what,
  } as const;
}

/** Short names of actions: message kind or refusal reason of sends. */
export function actionNames(
  actions: readonly (RankAction | SwitchAction)[]
): string[] {
  return actions.map(action => {
    if (action.kind !== 'send') return action.kind;
    const {message} = action;
    return message.kind === 'refusal' ? message.reason : message.kind;
  });
}
