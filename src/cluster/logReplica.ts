/**
 * This node's replica of the log. Only nodes with a disk have one; the others
 * call the leader.
 */

import {distinctUntilChanged, map} from 'rxjs';
import type {Logger} from '../core/logger';
import {createReplicatedLog} from '../control/log/createReplicatedLog';
import type {VoterLimit} from '../control/log/logOptions';
import type {ReplicatedLog} from '../control/log/replicatedLog';
import {ControlState} from '../control/state/controlState';
import {LOG_TIMING} from './logTiming';
import type {NodeDirectory} from './nodeDirectory';
import {maxVoters, voterEviction} from './voterPolicy';

/**
 * Log bytes between two snapshots. Snapshots are small, and the disk of a node
 * may hold no more than 64 MB.
 */
const SNAPSHOT_AFTER_BYTES = 8 << 20;
/**
 * Entries kept behind a snapshot. Site documents are large: a few hundred of
 * them may fill the disk.
 */
const TRAILING_ENTRIES = 64;
/**
 * Delay before a failed log is opened again: a disk that was full for some
 * seconds is in use again within one second of having space.
 */
const REOPEN_DELAY_MS = 700;

/** Settings and dependencies of a log replica. */
export interface LogReplicaOptions {
  readonly directory: NodeDirectory;
  readonly dataDir: string;
  /** Nodes that form the first voter group; when empty, none is formed. */
  readonly founders: readonly string[];
  /** Whether the whole deployment starts for the first time. */
  readonly isFirstStart: boolean;
  /** Voters that may be lost at the same time without losing the quorum. */
  readonly lossesBorne: number;
  readonly logger: Logger;
  /** Runs a callback after a delay, unless the process exits before. */
  readonly after: (ms: number, run: () => void) => void;
}

/**
 * The log on a node's disk and the state machine that it drives. A failed write
 * ends the log but not the process, which can serve requests without it. The
 * log is reopened from disk until that succeeds, so that a disk that was full
 * for a while does not cost the node its vote for good.
 */
export class LogReplica {
  private constructor(
    private readonly options: LogReplicaOptions,
    private opened: OpenLog | undefined
  ) {}

  static async open(options: LogReplicaOptions): Promise<LogReplica> {
    const replica = new LogReplica(options, undefined);
    replica.opened = await replica.openLog();
    return replica;
  }

  /** Undefined while the log is not open, for example after a disk failure. */
  get current(): OpenLog | undefined {
    return this.opened;
  }

  /** Whether this node leads. */
  get leads(): boolean {
    return this.opened?.log.status().role === 'leader';
  }

  /** Id of the leader that this log knows, if any. */
  get leader(): string | undefined {
    return this.opened?.log.status().leaderId;
  }

  /** Resigns if this node leads, and closes the log. */
  async close(): Promise<void> {
    const {opened} = this;
    this.opened = undefined;
    await opened?.log.close();
  }

  private async openLog(): Promise<OpenLog> {
    const {directory, founders, isFirstStart, lossesBorne, logger} =
      this.options;
    const state = new ControlState();
    const voterLimit: VoterLimit = {
      maxVoters: maxVoters(lossesBorne),
      zoneOf: ip => directory.zoneOf(ip),
      lastReportMs: ip => directory.lastContactMs(ip),
    };
    const log = await createReplicatedLog({
      id: directory.self.ip,
      peers: directory,
      founders,
      mayFound: isFirstStart && founders.length > 0,
      voterEviction: voterEviction(lossesBorne),
      voterLimit,
      dataDir: this.options.dataDir,
      stateMachine: state,
      logger,
      random: Math.random,
      timing: LOG_TIMING,
      onFatal: err => this.reopenLater(err),
      limits: {
        snapshotBytes: SNAPSHOT_AFTER_BYTES,
        trailingEntries: TRAILING_ENTRIES,
      },
    });
    this.logStatusChanges(log);
    return {log, state};
  }

  /** Logs each change of this node's role or vote, the leader or the voters. */
  private logStatusChanges(log: ReplicatedLog): void {
    log.status$
      .pipe(
        map(({role, leaderId, voter, voterIds, term}) => ({
          role,
          leaderId,
          voter,
          voterIds,
          term,
        })),
        distinctUntilChanged(
          (a, b) =>
            a.role === b.role &&
            a.leaderId === b.leaderId &&
            a.voter === b.voter &&
            a.voterIds.join() === b.voterIds.join()
        )
      )
      .subscribe(status =>
        this.options.logger.info({event: 'log.changed', ...status}, status.role)
      );
  }

  private reopenLater(err: unknown): void {
    this.opened = undefined;
    this.options.logger.error(
      {event: 'disk.lost', err: String(err)},
      `the log on disk failed; reopening it in ${REOPEN_DELAY_MS} ms`
    );
    this.options.after(REOPEN_DELAY_MS, () => {
      this.openLog().then(
        opened => {
          this.opened = opened;
          this.options.logger.info(
            {event: 'disk.regained'},
            'the log is open again'
          );
        },
        (reopenErr: unknown) => this.reopenLater(reopenErr)
      );
    });
  }
}

/** An open log and the state machine that it drives. */
export interface OpenLog {
  readonly log: ReplicatedLog;
  readonly state: ControlState;
}
