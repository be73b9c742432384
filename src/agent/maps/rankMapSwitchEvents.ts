/** Events and actions of the rank's state machine for map switches. */

import type {
  CommittedMap,
  FromRankMessage,
  PrepareMessage,
  StageMessage,
  SwitchId,
  ToRankMessage,
} from '../../core/mapMessages';

/** Observed state of the engine. */
export interface EngineView {
  /** Random at each start of the engine. */
  readonly bootId: string;
  /** Whether it has a map and takes part in passes. */
  readonly running: boolean;
  /** The next pass to run. */
  readonly step: number;
  /** Version of the map in use in the last pass; 0 for none. */
  readonly mapVersion: number;
  /** Prepared version, before whose switch step it holds until the decision. */
  readonly preparedVersion?: number;
}

/** Result of an order to prepare a map and hold before its switch step. */
export type PrepareResult = 'held' | 'passed' | 'failed';

/** Input of the state machine. */
export type RankEvent =
  | {readonly kind: 'engine'; readonly view: EngineView}
  | {readonly kind: 'message'; readonly message: ToRankMessage}
  | {
      readonly kind: 'prepared';
      readonly bootId: string;
      readonly version: number;
      readonly result: PrepareResult;
    }
  /** The outcome of the order to prepare is unknown. */
  | {readonly kind: 'prepareLost'; readonly version: number}
  | {readonly kind: 'started'; readonly bootId: string}
  | {
      readonly kind: 'staged';
      readonly order: StageMessage;
      readonly ok: boolean;
    }
  | {readonly kind: 'tick'};

/** Output of the state machine, to be executed in order. */
export type RankAction =
  | {readonly kind: 'send'; readonly message: FromRankMessage}
  /**
   * Run with `previous` before `current.switchStep`, otherwise with `current`.
   */
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
      /** Newest known fence; that of the switch may be older. */
      readonly fence: number;
      readonly decision: 'commit' | 'abort';
    };

/** Identity of the rank, and times in milliseconds. */
export interface RankMapSwitchConfig {
  readonly group: string;
  readonly rank: number;
  readonly agentBootId: string;
  readonly bootAtMs: number;
  /** Longest time after which an order to the engine can still take effect. */
  readonly maxOrderDelayMs: number;
  /** Interval at which an unanswered request is repeated. */
  readonly retryIntervalMs: number;
}
