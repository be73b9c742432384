/**
 * Instances of the replicated log in one process, connected by function calls.
 */

import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import type {Logger} from '../src/core/logger';
import type {Command, CommandResult} from '../src/control/state/command';
import type {LogLimits, LogPeer} from '../src/control/log/logOptions';
import {staticPeers} from '../src/control/log/logOptions';
import {createReplicatedLog} from '../src/control/log/createReplicatedLog';
import type {LogStorage} from '../src/control/log/logStorage';
import type {
  LogStatus,
  ReplicatedLog,
  StateMachine,
} from '../src/control/log/replicatedLog';

const ignore = (): undefined => undefined;

/** A logger that discards all lines. */
export const SILENT_LOGGER = {
  trace: ignore,
  debug: ignore,
  info: ignore,
  warn: ignore,
  error: ignore,
  fatal: ignore,
} as unknown as Logger;

/** Records the holder of every fence command; the fence counts them. */
export class RecordingState implements StateMachine {
  holders: string[] = [];

  apply(command: Command): CommandResult {
    if (command.kind !== 'fence') return {command: 'noop'};
    this.holders.push(command.holder);
    return {command: 'fence', result: {fence: this.holders.length}};
  }

  snapshot(): string {
    return JSON.stringify(this.holders);
  }

  restore(snapshot: string): void {
    this.holders = JSON.parse(snapshot);
  }
}

export const fenceCommand = (holder: string): Command => ({
  kind: 'fence',
  group: 'ranks',
  holder,
});

interface RunningInstance {
  readonly log: ReplicatedLog;
  readonly state: RecordingState;
}

/** Starts, stops, partitions and wipes instances. */
export class LogCluster {
  readonly root = mkdtempSync(path.join(tmpdir(), 'marlpulley-log-'));
  readonly running = new Map<string, RunningInstance>();
  readonly fatal: unknown[] = [];
  /** Directed links that lose all messages, as `from>to`. */
  readonly cutLinks = new Set<string>();
  /** Instances that hang: requests to them are neither delivered nor answered. */
  readonly silent = new Set<string>();
  /** Replacements for the real disk, by instance id. */
  readonly storages = new Map<string, LogStorage>();

  constructor(
    public ids: readonly string[],
    private readonly limits: Partial<LogLimits> = {}
  ) {}

  dataDir(id: string): string {
    return path.join(this.root, id);
  }

  async start(...ids: readonly string[]): Promise<void> {
    for (const id of ids) await this.startOne(id);
  }

  async stop(...ids: readonly string[]): Promise<void> {
    for (const id of ids) {
      const one = this.running.get(id);
      this.running.delete(id);
      await one?.log.close();
    }
  }

  async close(): Promise<void> {
    await this.stop(...this.running.keys());
    rmSync(this.root, {recursive: true, force: true});
  }

  wipe(id: string): void {
    rmSync(this.dataDir(id), {recursive: true, force: true});
  }

  at(id: string): RunningInstance {
    const one = this.running.get(id);
    if (one === undefined) throw new Error(`instance ${id} is not running`);
    return one;
  }

  /** Resolves once the status of `id` passes `test`. */
  async untilStatus(
    id: string,
    test: (status: LogStatus) => boolean
  ): Promise<void> {
    const {log} = this.at(id);
    await new Promise<void>(resolve => {
      const watch = log.status$.subscribe(status => {
        if (!test(status)) return;
        resolve();
        queueMicrotask(() => watch.unsubscribe());
      });
    });
  }

  /** Cuts all links from or all links to an instance. */
  cutOff(id: string, direction: 'from' | 'to'): void {
    for (const other of this.ids)
      this.cutLinks.add(
        direction === 'from' ? `${id}>${other}` : `${other}>${id}`
      );
  }

  /** Resolves once every instance is a voter with its current incarnation. */
  async whole(): Promise<void> {
    for (const id of this.ids) await this.untilStatus(id, ({voter}) => voter);
  }

  /** Proposes at the leader, and retries after a NotLeaderError. */
  async commit(holder: string): Promise<CommandResult> {
    for (;;) {
      const leader = await this.leader();
      try {
        return await this.at(leader).log.propose(fenceCommand(holder));
      } catch (err) {
        if (!(err instanceof Error) || err.name !== 'NotLeaderError') throw err;
      }
    }
  }

  /** Resolves with the id of an instance that considers itself the leader. */
  async leader(): Promise<string> {
    const ids = [...this.running.keys()];
    return Promise.race(
      ids.map(async id => {
        await this.untilStatus(id, ({role}) => role === 'leader');
        return id;
      })
    );
  }

  private async startOne(id: string): Promise<void> {
    const state = new RecordingState();
    const others = this.ids.filter(other => other !== id);
    const log = await createReplicatedLog({
      id,
      peers: staticPeers(others.map(other => this.link(id, other))),
      dataDir: this.dataDir(id),
      stateMachine: state,
      logger: SILENT_LOGGER,
      random: Math.random,
      onFatal: err => this.fatal.push(err),
      limits: this.limits,
      storage: this.storages.get(id),
    });
    this.running.set(id, {log, state});
  }

  private link(from: string, to: string): LogPeer {
    const isLost = (a: string, b: string): boolean =>
      this.cutLinks.has(`${a}>${b}`) ||
      !this.running.has(a) ||
      !this.running.has(b);
    return {
      id: to,
      send: async message => {
        if (isLost(from, to)) throw new Error(`request ${from}>${to} lost`);
        if (this.silent.has(to)) return new Promise(() => undefined);
        const sent = JSON.parse(JSON.stringify(message));
        const answer = await this.at(to).log.receive(sent);
        if (isLost(to, from)) throw new Error(`reply ${to}>${from} lost`);
        return JSON.parse(JSON.stringify(answer));
      },
    };
  }
}
