/** Starts the whole system as separate processes, with fakes as targets. */

import {mkdirSync, mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {Child} from './childProcess';
import {CutDirection, CutRelay} from './cutRelay';
import {freePorts} from './freePorts';
import type {DeploymentShape, PoolShape} from './shape';

/** The shared key of all processes. */
export const SECRET = 'a shared secret for one machine';
const HOST = '127.0.0.1';
const STARTED_AT_ONCE = 4;

/** Programs of a build. */
export interface Programs {
  /** The bundle of marlpulley. */
  readonly app: string;
  readonly fakes: string;
}

/** One target with its agent. */
export interface TargetPair {
  readonly targetId: string;
  readonly pool: string;
  readonly availabilityZone: string;
  readonly fakePort: number;
}

/** A running deployment; every process is named, and can be ended and restarted. */
export class Deployment {
  readonly folder = mkdtempSync(path.join(tmpdir(), 'marlpulley-'));
  readonly targets: TargetPair[] = [];
  private readonly children = new Map<string, Child>();
  private readonly starts = new Map<string, () => Promise<Child>>();
  private controlPorts: readonly number[] = [];
  private relays: readonly CutRelay[] = [];

  private constructor(
    private readonly programs: Programs,
    readonly shape: DeploymentShape
  ) {
    mkdirSync(path.join(this.folder, 'logs'));
  }

  static async start(
    programs: Programs,
    shape: DeploymentShape
  ): Promise<Deployment> {
    const deployment = new Deployment(programs, shape);
    try {
      await deployment.startAll();
    } catch (err) {
      await deployment.stop();
      throw err;
    }
    return deployment;
  }

  /** Port for callers of an entry, from 0. */
  entryPort(index: number): number {
    return this.child(`entry-${index}`).hello.port;
  }

  child(name: string): Child {
    const child = this.children.get(name);
    if (child === undefined) throw new Error(`no process named ${name}`);
    return child;
  }

  names(): readonly string[] {
    return [...this.children.keys()];
  }

  /** Starts a process again under the same settings. */
  async restart(name: string): Promise<void> {
    const start = this.starts.get(name);
    if (start === undefined) throw new Error(`no process named ${name}`);
    this.children.set(name, await start());
  }

  /** Cuts the processes of `shape.island` off from control on the other side. */
  cut(direction?: CutDirection): void {
    for (const relay of this.relays) relay.cut(direction);
  }

  /** Ends a cut; what was sent meanwhile arrives now. */
  heal(): void {
    for (const relay of this.relays) relay.heal();
  }

  dataFolder(controlName: string): string {
    return path.join(this.folder, 'data', controlName);
  }

  /** Settings file of the operators' client. */
  get clientSettings(): string {
    return path.join(this.folder, 'client.ini');
  }

  /** Runs the operators' client; resolves with its output and exit code. */
  async client(
    args: readonly string[]
  ): Promise<{readonly code: number; readonly output: string}> {
    const {execFile} = await import('node:child_process');
    const argv = [
      this.programs.app,
      ...args,
      '--settings',
      this.clientSettings,
    ];
    return new Promise(resolve => {
      execFile(process.execPath, argv, (err, stdout, stderr) => {
        const code = err === null ? 0 : Number(err.code ?? 1);
        resolve({code, output: stdout + stderr});
      });
    });
  }

  /** Submits the text of a rule file. */
  submit(
    text: string
  ): Promise<{readonly code: number; readonly output: string}> {
    const file = path.join(this.folder, 'rules.txt');
    writeFileSync(file, text);
    return this.client(['submit', file]);
  }

  /**
   * Ends all processes and cleans up. Resolves with whether every role ended
   * with code 0, as it does when SIGTERM drains it.
   */
  async stop(signal: NodeJS.Signals = 'SIGKILL'): Promise<boolean> {
    const roles = [...this.children.values()].filter(
      child => !child.name.startsWith('fake-')
    );
    const codes = await Promise.all(roles.map(child => child.end(signal)));
    await Promise.all(
      [...this.children.values()].map(child => child.end('SIGKILL'))
    );
    for (const relay of this.relays) relay.close();
    rmSync(this.folder, {recursive: true, force: true});
    return codes.every(code => code === 0);
  }

  private async startAll(): Promise<void> {
    await this.startControls();
    this.write('client', this.internalLines('client'));
    for (const pool of this.shape.pools) await this.startPool(pool);
    const entries = Array.from({length: this.shape.entries}, (_, i) =>
      this.startEntry(i)
    );
    await Promise.all(entries);
  }

  private async startControls(): Promise<void> {
    const ports = await freePorts(this.shape.controls);
    const ids = ports.map((_, i) => `control-${i}`);
    this.controlPorts = ports;
    if (this.shape.island !== undefined)
      this.relays = await Promise.all(ports.map(port => CutRelay.start(port)));
    await Promise.all(
      ids.map((id, i) => {
        const file = this.write(id, [
          ...this.processLines(id, i),
          ...this.internalLines(id, `port = ${ports[i]}`),
          '[data]',
          `folder = ${this.dataFolder(id)}`,
        ]);
        return this.startRole('control', id, file);
      })
    );
  }

  private async startPool(shape: PoolShape): Promise<void> {
    const ports = await this.startRanks(shape);
    const pairs = Array.from({length: shape.count}, (_, i) =>
      this.startTarget(shape, i, ports?.[i])
    );
    await Promise.all(pairs);
  }

  /** All ranks of a group step together, so one fake holds them all. */
  private async startRanks({
    pool,
    group,
    count,
    fakeArgs,
  }: PoolShape): Promise<readonly number[] | undefined> {
    if (group === undefined) return undefined;
    const ranks = ['--group', group, '--ranks', String(count), '--needs-map'];
    const args = [this.programs.fakes, 'engine', ...ranks, ...fakeArgs];
    const child = await this.startChild(`fake-${pool}`, args);
    return child.hello.ports;
  }

  /** Adds targets to a pool until it has `count`, a few at a time. */
  async growPool(shape: PoolShape, count: number): Promise<void> {
    const held = this.targets.filter(({pool}) => pool === shape.pool).length;
    for (let from = held; from < count; from += STARTED_AT_ONCE) {
      const size = Math.min(STARTED_AT_ONCE, count - from);
      const pairs = Array.from({length: size}, (_, i) =>
        this.startTarget(shape, from + i)
      );
      await Promise.all(pairs);
    }
  }

  private async startTarget(
    shape: PoolShape,
    index: number,
    rankPort?: number
  ): Promise<void> {
    const {pool, kind} = shape;
    const targetId = `${pool}-${index}`;
    const known = shape.sharedFake
      ? this.targets.find(target => target.pool === pool)
      : undefined;
    const fakePort =
      rankPort ??
      known?.fakePort ??
      (await this.startFake(shape, `fake-${targetId}`));
    const id = `agent-${targetId}`;
    const file = this.write(id, [
      ...this.processLines(id, index),
      ...this.internalLines(id, 'port = 0'),
      '[target]',
      `id = ${targetId}`,
      `pool = ${pool}`,
      `kind = ${kind}`,
      `host = ${HOST}`,
      `port = ${fakePort}`,
      ...(this.shape.agentTargetLines ?? []),
    ]);
    await this.startRole('agent', id, file);
    this.targets.push({
      targetId,
      pool,
      availabilityZone: this.zone(index),
      fakePort,
    });
  }

  /** Resolves with the port. */
  private async startFake(
    {kind, fakeArgs}: PoolShape,
    name: string
  ): Promise<number> {
    const [port = 0] = await freePorts(1);
    const fake = kind === 'engine' ? 'engine' : 'ledger';
    const args = [this.programs.fakes, fake, '--port', String(port)];
    await this.startChild(name, [...args, ...fakeArgs]);
    return port;
  }

  private async startEntry(index: number): Promise<void> {
    const id = `entry-${index}`;
    const [port] = await freePorts(1);
    const file = this.write(id, [
      ...this.processLines(id, index),
      ...this.internalLines(id),
      '[callers]',
      `port = ${port}`,
      `drain-ms = ${this.shape.drainMs ?? 500}`,
      ...(this.shape.callersLines ?? []),
    ]);
    await this.startRole('entry', id, file);
  }

  private startRole(
    role: string,
    id: string,
    settings: string
  ): Promise<Child> {
    return this.startChild(id, [
      this.programs.app,
      role,
      '--settings',
      settings,
    ]);
  }

  private async startChild(
    name: string,
    args: readonly string[]
  ): Promise<Child> {
    const log = path.join(this.folder, 'logs', `${name}.log`);
    const start = () => Child.start(name, args, log);
    this.starts.set(name, start);
    const child = await start();
    this.children.set(name, child);
    return child;
  }

  private zone(index: number): string {
    return this.shape.zones[index % this.shape.zones.length] ?? 'zone';
  }

  private processLines(id: string, index: number): readonly string[] {
    return [
      '[process]',
      `id = ${id}`,
      `availability-zone = ${this.zone(index)}`,
      `host = ${HOST}`,
      `log-level = ${this.shape.logLevel ?? 'info'}`,
      ...this.metricsLines(),
    ];
  }

  private metricsLines(): readonly string[] {
    const {metricsPort} = this.shape;
    if (metricsPort === undefined) return [];
    return [`metrics-host = ${HOST}`, `metrics-port = ${metricsPort}`];
  }

  /** Control as one process reaches it: through relays to the other side. */
  private controlList(processId: string): string {
    const {island = []} = this.shape;
    const isOnIsland = island.includes(processId);
    return this.controlPorts
      .map((port, i) => {
        const id = `control-${i}`;
        const relay = this.relays[i];
        const crosses = island.includes(id) !== isOnIsland;
        return `${id}@${HOST}:${crosses && relay ? relay.port : port}`;
      })
      .join(', ');
  }

  private internalLines(
    processId: string,
    ...extra: readonly string[]
  ): readonly string[] {
    return [
      '[internal]',
      `key = ${SECRET}`,
      ...extra,
      '[control]',
      `instances = ${this.controlList(processId)}`,
    ];
  }

  private write(name: string, lines: readonly string[]): string {
    const file = path.join(this.folder, `${name}.ini`);
    writeFileSync(file, `${lines.join('\n')}\n`);
    return file;
  }
}
