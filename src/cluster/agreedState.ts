/**
 * This node's part in what is agreed: the log on its disk, if it has one, or
 * calls to the node that leads.
 */

import {distinctUntilChanged, map} from 'rxjs';
import type {Logger} from '../core/logger';
import {createReplicatedLog} from '../control/log/createReplicatedLog';
import type {LogTiming} from '../control/log/coreEvents';
import type {ForgetRule} from '../control/log/logOptions';
import type {ReplicatedLog} from '../control/log/replicatedLog';
import {ControlState} from '../control/state/controlState';
import type {NodeDirectory} from './nodeDirectory';

/** A snapshot is small; the disk of a node may hold no more than 64 MB. */
const SNAPSHOT_AFTER_BYTES = 8 << 20;
/** Documents are large: a few hundred entries may fill the disk otherwise. */
const TRAILING_ENTRIES = 64;
/**
 * Twice the longest election timeout beyond the longest stay of a process that
 * is killed and started again: a voter that comes back keeps its vote.
 */
const REMOVE_SILENT_VOTER_AFTER_MS = 8_000;
/**
 * A leader that is lost, or a restart of all, leaves callers without a document
 * and targets without places until the next leader stands: 1.2 s with the usual
 * times of the log, half of it with these. A beat of 100 ms to a handful of
 * instances costs next to nothing; three fit into the shortest wait.
 */
const LOG_TIMING: LogTiming = {
  heartbeatMs: 100,
  electionMinMs: 350,
  electionMaxMs: 700,
  checkQuorumMs: 700,
  resendMs: 400,
  firstElectionMs: 250,
};
/** A disk that is full for seconds is found usable again within one more. */
const REOPEN_DELAY_MS = 700;

/** What the log of a node is opened with. */
export interface LogReplicaOptions {
  readonly directory: NodeDirectory;
  readonly dataDir: string;
  /** Nodes that found the group; nobody founds when empty. */
  readonly founders: readonly string[];
  /** Whether the whole deployment starts for the first time. */
  readonly isFirstStart: boolean;
  /** Instances whose loss at once is borne. */
  readonly lossesBorne: number;
  readonly logger: Logger;
  /** Runs something later, unless the process stops before. */
  readonly after: (ms: number, run: () => void) => void;
}

/**
 * The log of a node with a disk, and the state it drives. A disk that refuses
 * a write ends the log, not the process: requests can be served without it. It
 * is opened again from what the disk holds until that works, so that a disk
 * that was full for a while costs no vote for good.
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

  /** Absent while the disk is out of order. */
  get current(): OpenLog | undefined {
    return this.opened;
  }

  /** Whether this node leads. */
  get leads(): boolean {
    return this.opened?.log.status().role === 'leader';
  }

  /** The leader as this node knows it. */
  get leader(): string | undefined {
    return this.opened?.log.status().leaderId;
  }

  /** Hands over the lead and stops. */
  async close(): Promise<void> {
    const {opened} = this;
    this.opened = undefined;
    await opened?.log.close();
  }

  private async openLog(): Promise<OpenLog> {
    const {directory, founders, isFirstStart, logger} = this.options;
    const state = new ControlState();
    const forget: ForgetRule = {
      afterMs: REMOVE_SILENT_VOTER_AFTER_MS,
      keepVoters: 2 * this.options.lossesBorne + 1,
    };
    const log = await createReplicatedLog({
      id: directory.self.ip,
      peers: directory,
      founders,
      mayFound: isFirstStart && founders.length > 0,
      forget,
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

  /** One line each time this node's part, the leader or the voters change. */
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
      'the disk refused a write; the log is opened again later'
    );
    this.options.after(REOPEN_DELAY_MS, () => {
      this.openLog().then(
        opened => {
          this.opened = opened;
          this.options.logger.info({event: 'disk.regained'}, 'log open again');
        },
        (reopenErr: unknown) => this.reopenLater(reopenErr)
      );
    });
  }
}

/** A log that runs, and the state that it drives. */
export interface OpenLog {
  readonly log: ReplicatedLog;
  readonly state: ControlState;
}
