/** Instances of the replicated log in one process, linked by function calls. */

import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import type {Logger} from '../src/core/logger';
import type {Command, CommandResult} from '../src/control/state/command';
import type {LogLimits, LogPeer} from '../src/control/log/logOptions';
import {fixedPeers} from '../src/control/log/logOptions';
import {createReplicatedLog} from '../src/control/log/createReplicatedLog';
import type {LogStorage} from '../src/control/log/logStorage';
import type {
  LogStatus,
  ReplicatedLog,
  StateMachine,
} from '../src/control/log/replicatedLog';

const quiet = (): undefined => undefined;

/** A logger that says nothing. */
export const SILENT = {
  trace: quiet,
  debug: quiet,
  info: quiet,
  warn: quiet,
  error: quiet,
  fatal: quiet,
} as unknown as Logger;

/** Keeps every command; the result of a fence is its number. */
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

export const fence = (holder: string): Command => ({
  kind: 'fence',
  group: 'ranks',
  holder,
});

interface Running {
  readonly log: ReplicatedLog;
  readonly state: RecordingState;
}

/** Starts, stops, cuts and wipes instances. */
export class LogCluster {
  readonly root = mkdtempSync(path.join(tmpdir(), 'marlpulley-log-'));
  readonly running = new Map<string, Running>();
  readonly fatal: unknown[] = [];
  /** Directed links that lose everything: `from>to`. */
  readonly cuts = new Set<string>();
  /** Instances that never answer, as if stopped. */
  readonly silent = new Set<string>();
  /** In place of the real disk, by instance. */
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

  at(id: string): Running {
    const one = this.running.get(id);
    if (one === undefined) throw new Error(`${id} does not run`);
    return one;
  }

  /** Resolves with the first status of `id` that passes. */
  async until(id: string, test: (status: LogStatus) => boolean): Promise<void> {
    const {log} = this.at(id);
    await new Promise<void>(resolve => {
      const watch = log.status$.subscribe(status => {
        if (!test(status)) return;
        resolve();
        queueMicrotask(() => watch.unsubscribe());
      });
    });
  }

  /** Cuts all links from or to an instance. */
  cut(id: string, direction: 'from' | 'to'): void {
    for (const other of this.ids)
      this.cuts.add(direction === 'from' ? `${id}>${other}` : `${other}>${id}`);
  }

  /** Resolves once every instance votes under its own incarnation. */
  async whole(): Promise<void> {
    for (const id of this.ids) await this.until(id, ({voter}) => voter);
  }

  /** Proposes at whoever leads, again after each refusal. */
  async commit(holder: string): Promise<CommandResult> {
    for (;;) {
      const leader = await this.leader();
      try {
        return await this.at(leader).log.propose(fence(holder));
      } catch (err) {
        if (!(err instanceof Error) || err.name !== 'NotLeaderError') throw err;
      }
    }
  }

  /** Resolves with the id of an instance that leads. */
  async leader(): Promise<string> {
    const ids = [...this.running.keys()];
    return Promise.race(
      ids.map(async id => {
        await this.until(id, ({role}) => role === 'leader');
        return id;
      })
    );
  }

  private async startOne(id: string): Promise<void> {
    const state = new RecordingState();
    const others = this.ids.filter(other => other !== id);
    const log = await createReplicatedLog({
      id,
      peers: fixedPeers(others.map(other => this.link(id, other))),
      dataDir: this.dataDir(id),
      stateMachine: state,
      logger: SILENT,
      random: Math.random,
      onFatal: err => this.fatal.push(err),
      limits: this.limits,
      storage: this.storages.get(id),
    });
    this.running.set(id, {log, state});
  }

  private link(from: string, to: string): LogPeer {
    const lost = (a: string, b: string): boolean =>
      this.cuts.has(`${a}>${b}`) ||
      !this.running.has(a) ||
      !this.running.has(b);
    return {
      id: to,
      send: async message => {
        if (lost(from, to)) throw new Error('lost');
        if (this.silent.has(to)) return new Promise(() => undefined);
        const sent = JSON.parse(JSON.stringify(message));
        const answer = await this.at(to).log.receive(sent);
        if (lost(to, from)) throw new Error('lost');
        return JSON.parse(JSON.stringify(answer));
      },
    };
  }
}
