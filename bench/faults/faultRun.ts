/** One pair of faults over a running deployment, and what was recorded. */

import {readFileSync} from 'node:fs';
import {setTimeout as delay} from 'node:timers/promises';
import {RecordLine, readRecord} from '../../fakes/runRecord';
import type {ControlClient} from '../../src/cli/controlClient';
import type {Deployment, TargetPair} from '../deployment/deployment';
import {SeededRandom} from '../fuzz/schedule';
import {Fault, describeFault, pickFault, runFault} from './faults';
import type {FaultEvent, History} from './history';
import {Operators} from './operators';
import {Traffic} from './traffic';

const LATEST_START_MS = 1_000;
const SHORTEST_MS = 1_000;
/** Longer than the mark for a zone that is out and than a stall between tokens. */
const LONGEST_MS = 6_500;
const ZONE_OUT = 0.7;
const QUICK_RETURN = 0.3;
const HEAL_BOUND_MS = 15_000;
const LOOK_MS = 100;

/** A pair, and how long the system took to be whole after it. */
export interface FaultRunResult {
  readonly pair: readonly [string, string];
  readonly healedMs: number;
}

/** Runs one seed after another over one deployment, into one history. */
export class FaultRunner {
  private readonly events: FaultEvent[] = [];
  private readonly operators: Operators;

  constructor(
    private readonly deployment: Deployment,
    private readonly control: ControlClient
  ) {
    this.operators = new Operators(control, this.record);
  }

  /** Submits the first rules and waits until all serve. */
  async prepare(): Promise<void> {
    await this.operators.submit();
    const traffic = this.traffic(new SeededRandom(0), 'first');
    await traffic.stop();
    const missing = await this.settle(traffic, Date.now());
    if (missing.length > 0) throw new Error(missing.join(', '));
  }

  async run(seed: number): Promise<FaultRunResult> {
    const random = new SeededRandom(seed);
    // The order of names is that in which the processes happened to start.
    const names = [...this.deployment.names()].sort();
    const [first, second] = pickPair(random, names);
    const [firstMs, secondMs, zonesMs] = times(random, 0, LATEST_START_MS);
    const [firstHoldMs, secondHoldMs] = times(random, SHORTEST_MS, LONGEST_MS);
    const zoneChanges = pickZoneChanges(random, this.deployment.shape.zones);
    const traffic = this.traffic(random, `${seed}`);
    const {deployment, control, operators, record} = this;
    const world = {deployment, control, operators, traffic, record};
    await Promise.all([
      delay(firstMs).then(() => runFault(world, first, firstHoldMs)),
      delay(secondMs).then(() => runFault(world, second, secondHoldMs)),
      delay(zonesMs).then(() => this.changeZones(zoneChanges)),
    ]);
    const sinceMs = Date.now();
    await this.operators.submit([]);
    await this.settle(traffic, sinceMs);
    await traffic.stop();
    return {
      pair: [describeFault(first), describeFault(second)],
      healedMs: Date.now() - sinceMs,
    };
  }

  /** All runs so far, with what the targets and the processes wrote down. */
  history(): History {
    const names = this.deployment.names();
    return [
      ...this.events,
      ...this.deployment.targets.flatMap(target => this.recorded(target)),
      ...names
        .filter(name => /^(entry|agent)-/.test(name))
        .flatMap(name => rulesInForce(name, this.deployment.logFile(name))),
    ];
  }

  private readonly record = (event: FaultEvent): void => {
    this.events.push(event);
  };

  private traffic(random: SeededRandom, prefix: string): Traffic {
    return new Traffic(this.deployment, random, this.record, prefix);
  }

  private async changeZones(
    changes: readonly (readonly string[])[]
  ): Promise<void> {
    for (const zonesOut of changes) await this.operators.submit(zonesOut);
  }

  private async settle(
    traffic: Traffic,
    sinceMs: number
  ): Promise<readonly string[]> {
    for (;;) {
      const seen = await this.missing(traffic);
      const isOver = Date.now() - sinceMs > HEAL_BOUND_MS;
      if (seen.missing.length > 0 && !isOver) {
        await delay(LOOK_MS);
        continue;
      }
      this.record({kind: 'settled', sinceMs, atMs: Date.now(), ...seen});
      return seen.missing;
    }
  }

  private async missing(traffic: Traffic) {
    const status = await this.control.status().catch(() => undefined);
    if (status === undefined)
      return {missing: ['control answers'], revision: 0, text: ''};
    const {processes, instances, targets, revision, rulesText} = status;
    const missing: string[] = [];
    const held = new Map(processes.map(p => [p.processId, p.heldRevision]));
    for (const name of this.deployment.names())
      if (/^(entry|agent)-/.test(name) && (held.get(name) ?? 0) < revision)
        missing.push(`${name} holds ${held.get(name)} of ${revision}`);
    if (revision < this.operators.revision) missing.push('the last revision');
    for (const name of ['control-0', 'control-1', 'control-2'])
      if (!instances.some(one => one.instanceId === name && one.voter))
        missing.push(`${name} votes`);
    for (const {targetId} of this.deployment.targets)
      if (!targets.some(one => one.targetId === targetId && one.limit > 0))
        missing.push(`${targetId} serves`);
    for (let entry = 0; entry < this.deployment.shape.entries; entry++)
      if (!(await traffic.probe(entry))) missing.push(`entry-${entry} serves`);
    return {missing, revision, text: rulesText};
  }

  private recorded({targetId, availabilityZone}: TargetPair): History {
    const file = this.deployment.recordFile(`fake-${targetId}`);
    return readRecord(file).map(line =>
      toEvent(line, targetId, availabilityZone)
    );
  }
}

/** Two wiped disks of three are a lost majority, which nothing survives. */
function pickPair(
  random: SeededRandom,
  names: readonly string[]
): readonly [Fault, Fault] {
  const first = pickFault(random, names);
  for (;;) {
    const second = pickFault(random, names);
    if (first.kind !== 'wipe' || second.kind !== 'wipe') return [first, second];
  }
}

/** A zone goes out while the faults last, sometimes out, in and out again. */
function pickZoneChanges(
  random: SeededRandom,
  zones: readonly string[]
): readonly (readonly string[])[] {
  if (!random.chance(ZONE_OUT)) return [];
  const out = [random.pick(zones)];
  return random.chance(QUICK_RETURN) ? [out, [], out] : [out];
}

function times(
  random: SeededRandom,
  low: number,
  high: number
): readonly [number, number, number] {
  return [random.int(low, high), random.int(low, high), random.int(low, high)];
}

function toEvent(
  line: RecordLine,
  target: string,
  availabilityZone: string
): FaultEvent {
  if (line.kind === 'fell over') return {...line, target};
  const {atMs, callId = 'unnamed', key} = line;
  return {kind: 'ran', atMs, target, availabilityZone, callId, key};
}

/** The log line with which a process takes a revision. */
function rulesInForce(process: string, logFile: string): History {
  return readFileSync(logFile, 'utf8')
    .split('\n')
    .filter(line => line.includes('"msg":"rules in force"'))
    .map(line => {
      const {revision, time} = JSON.parse(line);
      return {kind: 'in force', atMs: Date.parse(time), process, revision};
    });
}
