/** Starts the whole system as separate processes, with fakes as its targets. */

import {mkdirSync, mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {Child} from './childProcess';
import type {CutDirection} from './cutRelay';
import {freePorts, startOnFreePort, reservePorts} from './freePorts';
import {Links} from './links';
import {ClientResult, runClient} from './runClient';
import type {DeploymentShape, PoolShape} from './shape';
import {VIA_RELAYS} from './viaRelaysEnv';

const HOST = '127.0.0.1';
const START_BATCH_SIZE = 4;

/** Paths of the built programs. */
export interface Programs {
  /** The bundle of marlpulley. */
  readonly app: string;
  readonly fakes: string;
}

/** A target with its agent. */
export interface TargetPair {
  readonly targetId: string;
  readonly pool: string;
  readonly availabilityZone: string;
  readonly fakePort: number;
}

/** A running deployment, whose processes are ended and restarted by name. */
export class Deployment {
  readonly folder = mkdtempSync(path.join(tmpdir(), 'marlpulley-'));
  /**
   * The internal key that all processes share. Another deployment on the machine has
   * another one, so that its processes get no answer on a port that was freed here.
   */
  readonly secret = `secret of ${this.folder}`;
  readonly targets: TargetPair[] = [];
  /** Relays of the connections that the shape routes through them. */
  readonly links = new Links();
  private readonly children = new Map<string, Child>();
  private readonly starts = new Map<string, () => Promise<Child>>();
  private controlPorts: readonly number[] = [];
  private readonly agentPorts = new Map<string, number>();

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

  /** Port for callers of an entry, by its index from 0. */
  entryPort(index: number): number {
    return this.child(`entry-${index}`).hello.port;
  }

  child(name: string): Child {
    const child = this.children.get(name);
    if (child === undefined) throw new Error(`no process named ${name}`);
    return child;
  }

  processNames(): readonly string[] {
    return [...this.children.keys()];
  }

  /** Starts a process again with the same settings. */
  async restart(name: string): Promise<void> {
    const start = this.starts.get(name);
    if (start === undefined) throw new Error(`no process named ${name}`);
    this.children.set(name, await start());
  }

  /** Cuts the relayed connections between the processes of `shape.isolatedProcesses` and the rest. */
  cut(direction?: CutDirection): void {
    this.links.cut((from, to) => this.crossesIsland(from, to), direction);
  }

  /** Ends a cut; data sent meanwhile is delivered now. */
  heal(): void {
    this.links.heal();
  }

  dataFolder(controlName: string): string {
    return path.join(this.folder, 'data', controlName);
  }

  /** Log file of a process, with JSON lines. */
  logFile(name: string): string {
    return path.join(this.folder, 'logs', `${name}.log`);
  }

  /** File with JSON lines of what a fake ran, which survives a kill of the fake. */
  recordFile(fakeName: string): string {
    return path.join(this.folder, `${fakeName}.record`);
  }

  /** Settings file of the operators' client. */
  get clientSettings(): string {
    return path.join(this.folder, 'client.ini');
  }

  /** Runs the operators' client; resolves with its output and exit code. */
  client(args: readonly string[]): Promise<ClientResult> {
    const settings = ['--settings', this.clientSettings];
    return runClient([this.programs.app, ...args, ...settings]);
  }

  /** Submits the text of a rule file. */
  submit(text: string): Promise<ClientResult> {
    const file = path.join(this.folder, 'rules.txt');
    writeFileSync(file, text);
    return this.client(['submit', file]);
  }

  /**
   * Ends all processes and cleans up. Resolves with whether every process other
   * than the fakes exited with code 0, as it does when SIGTERM drains it.
   */
  async stop(
    signal: NodeJS.Signals = 'SIGKILL',
    keepFolder = false
  ): Promise<boolean> {
    const roles = [...this.children.values()].filter(
      child => !child.name.startsWith('fake-')
    );
    const codes = await Promise.all(roles.map(child => child.end(signal)));
    await Promise.all(
      [...this.children.values()].map(child => child.end('SIGKILL'))
    );
    this.links.close();
    if (!keepFolder) rmSync(this.folder, {recursive: true, force: true});
    return codes.every(code => code === 0);
  }

  private async startAll(): Promise<void> {
    await this.startControls();
    this.write('client', await this.internalLines('client'));
    for (const pool of this.shape.pools) await this.startPool(pool);
    const entries = Array.from({length: this.shape.entries}, (_, i) =>
      this.startEntry(i)
    );
    await Promise.all(entries);
  }

  private async startControls(): Promise<void> {
    // The ports are held while the settings are written: writing them opens relays,
    // and the kernel could give a relay the port of an instance that has yet to start.
    const {ports, release} = await reservePorts(this.shape.controls);
    this.controlPorts = ports;
    const files = await Promise.all(
      ports.map((port, i) => this.writeControl(`control-${i}`, i, port))
    );
    await release();
    await Promise.all(
      files.map((file, i) => this.startRole('control', `control-${i}`, file))
    );
  }

  private async writeControl(
    id: string,
    index: number,
    port: number
  ): Promise<string> {
    return this.write(id, [
      ...this.processLines(id, index),
      ...(await this.internalLines(id, `port = ${port}`)),
      '[data]',
      `folder = ${this.dataFolder(id)}`,
    ]);
  }

  private async startPool(shape: PoolShape): Promise<void> {
    const ports = await this.startRanks(shape);
    const pairs = Array.from({length: shape.count}, (_, i) =>
      this.startTarget(shape, i, ports?.[i])
    );
    await Promise.all(pairs);
  }

  /** All ranks of a group step together, so one fake process runs them all. */
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
    const existing = this.targets.filter(
      ({pool}) => pool === shape.pool
    ).length;
    for (let from = existing; from < count; from += START_BATCH_SIZE) {
      const size = Math.min(START_BATCH_SIZE, count - from);
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
    const sharedTarget = shape.sharedFake
      ? this.targets.find(target => target.pool === pool)
      : undefined;
    const fakePort =
      rankPort ??
      sharedTarget?.fakePort ??
      (await startOnFreePort(() => this.startFake(shape, `fake-${targetId}`)));
    const lines = [
      '[target]',
      `id = ${targetId}`,
      `pool = ${pool}`,
      `kind = ${kind}`,
      `host = ${HOST}`,
      `port = ${fakePort}`,
      ...(this.shape.agentTargetLines ?? []),
    ];
    await startOnFreePort(() =>
      this.startAgent(`agent-${targetId}`, index, lines)
    );
    this.targets.push({
      targetId,
      pool,
      availabilityZone: this.zoneAt(index),
      fakePort,
    });
  }

  private async startAgent(
    id: string,
    index: number,
    targetLines: readonly string[]
  ): Promise<void> {
    const held = await reservePorts(this.shape.usesRelays ? 1 : 0);
    const [port = 0] = held.ports;
    this.agentPorts.set(id, port);
    const file = this.write(id, [
      ...this.processLines(id, index),
      ...(await this.internalLines(id, `port = ${port}`)),
      ...targetLines,
    ]);
    await held.release();
    await this.startRole('agent', id, file);
  }

  /** Starts a fake target; resolves with its port. */
  private async startFake(
    {kind, fakeArgs}: PoolShape,
    name: string
  ): Promise<number> {
    const [port = 0] = await freePorts(1);
    const fake = kind === 'engine' ? 'engine' : 'ledger';
    const args = [this.programs.fakes, fake, '--port', String(port)];
    const record = this.shape.usesRelays
      ? ['--record', this.recordFile(name)]
      : [];
    await this.startChild(name, [...args, ...fakeArgs, ...record]);
    return port;
  }

  private async startEntry(index: number): Promise<void> {
    const id = `entry-${index}`;
    const file = this.write(id, [
      ...this.processLines(id, index),
      ...(await this.internalLines(id)),
      '[callers]',
      'port = 0',
      `drain-ms = ${this.shape.drainMs ?? 500}`,
      ...(this.shape.callersLines ?? []),
    ]);
    await this.startRole('entry', id, file, await this.agentRelays(id));
  }

  private startRole(
    role: string,
    id: string,
    settings: string,
    relays?: string
  ): Promise<Child> {
    const args = [this.programs.app, role, '--settings', settings];
    if (relays === undefined) return this.startChild(id, args);
    const preload = path.join(path.dirname(this.programs.app), 'viaRelays.cjs');
    const env = {[VIA_RELAYS]: relays};
    return this.startChild(id, ['--require', preload, ...args], env);
  }

  /** Opens relays from an entry to all agents; resolves with the JSON that `viaRelays.ts` reads. */
  private async agentRelays(entry: string): Promise<string | undefined> {
    if (!this.shape.usesRelays) return undefined;
    const relays = [...this.agentPorts].map(async ([agent, port]) => [
      port,
      await this.links.open(entry, agent, port),
    ]);
    return JSON.stringify(Object.fromEntries(await Promise.all(relays)));
  }

  private async startChild(
    name: string,
    args: readonly string[],
    env: Readonly<Record<string, string>> = {}
  ): Promise<Child> {
    const start = () => Child.start(name, args, this.logFile(name), env);
    this.starts.set(name, start);
    const child = await start();
    this.children.set(name, child);
    return child;
  }

  private zoneAt(index: number): string {
    return this.shape.zones[index % this.shape.zones.length] ?? 'zone';
  }

  private processLines(id: string, index: number): readonly string[] {
    return [
      '[process]',
      `id = ${id}`,
      `availability-zone = ${this.zoneAt(index)}`,
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

  private crossesIsland(from: string, to: string): boolean {
    const {isolatedProcesses = []} = this.shape;
    return isolatedProcesses.includes(from) !== isolatedProcesses.includes(to);
  }

  /** Addresses of control for one process, through relays where its links can be cut. */
  private async controlList(processId: string): Promise<string> {
    const isLinked = (id: string) =>
      this.shape.usesRelays
        ? processId !== id && processId !== 'client'
        : this.crossesIsland(processId, id);
    const list = this.controlPorts.map(async (port, i) => {
      const id = `control-${i}`;
      const relay = isLinked(id) && this.links.open(processId, id, port);
      return `${id}@${HOST}:${(await relay) || port}`;
    });
    return (await Promise.all(list)).join(', ');
  }

  private async internalLines(
    processId: string,
    ...extra: readonly string[]
  ): Promise<readonly string[]> {
    return [
      '[internal]',
      `key = ${this.secret}`,
      ...extra,
      '[control]',
      `instances = ${await this.controlList(processId)}`,
    ];
  }

  private write(name: string, lines: readonly string[]): string {
    const file = path.join(this.folder, `${name}.ini`);
    writeFileSync(file, `${lines.join('\n')}\n`);
    return file;
  }
}
