/** What the rank's side of a switch reacts to, and what it asks for. */

import type {
  CommittedMap,
  FromRankMessage,
  PrepareMessage,
  StageMessage,
  SwitchId,
  ToRankMessage,
} from '../../core/mapMessages';

/** What the engine shows of itself. */
export interface EngineView {
  /** Random at each start of the engine. */
  readonly bootId: string;
  /** Whether it has a map and takes part in steps. */
  readonly running: boolean;
  /** Next step to run. */
  readonly step: number;
  /** Map of the last step that was run; 0 for none. */
  readonly mapVersion: number;
  /** Version before whose step it holds until it is told. */
  readonly preparedVersion?: number;
}

/** What became of an order to hold before a step. */
export type PrepareResult = 'held' | 'passed' | 'failed';

/** What the rank's side reacts to. */
export type RankEvent =
  | {readonly kind: 'engine'; readonly view: EngineView}
  | {readonly kind: 'message'; readonly message: ToRankMessage}
  | {
      readonly kind: 'prepared';
      readonly bootId: string;
      readonly version: number;
      readonly result: PrepareResult;
    }
  /** The outcome of the order to prepare is not known. */
  | {readonly kind: 'prepareLost'; readonly version: number}
  | {readonly kind: 'started'; readonly bootId: string}
  | {
      readonly kind: 'staged';
      readonly order: StageMessage;
      readonly ok: boolean;
    }
  | {readonly kind: 'tick'};

/** What is to be done. */
export type RankAction =
  | {readonly kind: 'send'; readonly message: FromRankMessage}
  /** Run with `previous` below `current.switchStep`, else with `current`. */
  | {
      readonly kind: 'startEngine';
      readonly fence: number;
      readonly current: CommittedMap;
      readonly previous?: CommittedMap;
    }
  | {readonly kind: 'prepareEngine'; readonly order: PrepareMessage}
  | {readonly kind: 'stageEngine'; readonly order: StageMessage}
  | {
      readonly kind: 'decideEngine';
      readonly id: SwitchId;
      /** Newest fence known; that of the switch may be older. */
      readonly fence: number;
      readonly decision: 'commit' | 'abort';
    };

/** Who this is, and its times in milliseconds. */
export interface RankSwitchConfig {
  readonly group: string;
  readonly rank: number;
  readonly agentBootId: string;
  readonly bootAtMs: number;
  /** Longest that an order to the engine can still take effect. */
  readonly quietMs: number;
  /** Time between two requests of the same kind. */
  readonly retryMs: number;
}
