/** Nodes of the soak: real processes, each at its own loopback address. */

import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import {createWriteStream, mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import type {NodeEvent} from './statementLog';

/** Last octets of the addresses of the nodes with and without a disk. */
const WITH_DISK = [41, 42, 43] as const;
const WITHOUT_DISK = [44] as const;
/** Number of subnets; soaks of different seeds can run at the same time in their own. */
const SUBNETS = 200;
const PORTS = {
  internal: 17_340,
  callers: 17_341,
  ready: 17_342,
  control: 17_343,
};
/** Maximum delay until an exited process is restarted. */
const MAX_RESTART_DELAY_MS = 700;

/** Starts, signals and restarts the nodes. */
export class SoakNodes {
  readonly ips: readonly string[];
  /** Signals to nodes and their starts, in the order of time. */
  readonly disturbances: NodeEvent[] = [];
  private readonly diskIps: readonly string[];
  private readonly running = new Map<string, ChildProcess>();
  private isEnding = false;

  constructor(
    private readonly program: string,
    private readonly folder: string,
    seed: number
  ) {
    const subnet = `127.0.${1 + (seed % SUBNETS)}`;
    this.diskIps = WITH_DISK.map(last => `${subnet}.${last}`);
    const disklessIps = WITHOUT_DISK.map(last => `${subnet}.${last}`);
    this.ips = [...this.diskIps, ...disklessIps];
  }

  get callersPort(): number {
    return PORTS.callers;
  }

  get controlPort(): number {
    return PORTS.control;
  }

  hasDisk(ip: string): boolean {
    return this.diskIps.includes(ip);
  }

  startAll(): void {
    for (const ip of this.ips) this.start(ip, true);
  }

  signal(ip: string, signal: NodeJS.Signals): void {
    this.noteDisturbance(ip);
    this.running.get(ip)?.kill(signal);
  }

  async stop(): Promise<void> {
    this.isEnding = true;
    const ends = [...this.running.values()].map(
      child => new Promise(done => child.once('exit', done))
    );
    for (const child of this.running.values()) child.kill('SIGKILL');
    await Promise.all(ends);
  }

  private start(ip: string, isFirstStart: boolean): void {
    const file = path.join(this.folder, `${ip}.ini`);
    writeFileSync(file, this.settings(ip, isFirstStart));
    const args = [this.program, 'node', '--settings', file];
    const child = spawn(process.execPath, args, {
      stdio: ['ignore', 'pipe', 'ignore'],
    });
    // A node that was told to end serves on for seconds before it starts again.
    this.noteDisturbance(ip);
    const log = path.join(this.folder, `${ip}.jsonl`);
    child.stdout.pipe(createWriteStream(log, {flags: 'a'}));
    this.running.set(ip, child);
    child.once('exit', () => {
      this.running.delete(ip);
      if (!this.isEnding)
        setTimeout(
          () => this.start(ip, false),
          Math.random() * MAX_RESTART_DELAY_MS
        );
    });
  }

  private noteDisturbance(ip: string): void {
    this.disturbances.push({atMs: performance.now(), ip});
  }

  private settings(ip: string, isFirstStart: boolean): string {
    const data = path.join(this.folder, `data-${ip}`);
    if (this.hasDisk(ip)) mkdirSync(data, {recursive: true});
    return [
      '[process]',
      `id = node-${ip}`,
      'availability-zone = a',
      `host = ${ip}`,
      '[cluster]',
      `port = ${PORTS.internal}`,
      `seeds = ${this.diskIps.join(',')}`,
      `first-start = ${isFirstStart}`,
      'losses-borne = 1',
      `data-folder = ${this.hasDisk(ip) ? data : ''}`,
      '[listen]',
      `callers = ${ip}:${PORTS.callers}`,
      `ready = ${ip}:${PORTS.ready}`,
      `control = ${ip}:${PORTS.control}`,
      '[bounds]',
      'heartbeat-ms = 400',
      'retry-ratio = 0.2',
      'retry-slack = 50',
      'retry-window-s = 10',
      'cold-multiplier = 1.5',
      'cold-slack = 5',
      'grace-s = 3',
      '',
    ].join('\n');
  }
}
