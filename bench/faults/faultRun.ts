/** Runs pairs of faults on a deployment and records the history. */

import {readFileSync} from 'node:fs';
import {setTimeout as delay} from 'node:timers/promises';
import {RecordLine, readRecord} from '../../fakes/runRecord';
import type {ControlClient} from '../../src/cli/controlClient';
import type {Deployment, TargetPair} from '../deployment/deployment';
import {SeededRandom} from '../fuzz/schedule';
import {Fault, describeFault, pickFault, runFault} from './faults';
import type {FaultEvent, History} from './history';
import {Operators} from './ruleOperators';
import {Traffic} from './traffic';

const MAX_START_DELAY_MS = 1_000;
const MIN_FAULT_MS = 1_000;
/** Longer than the bound for a zone that is out and than the stall timeout between tokens. */
const MAX_FAULT_MS = 6_500;
const ZONE_OUT_PROBABILITY = 0.7;
const QUICK_RETURN_PROBABILITY = 0.3;
const MAX_RECOVERY_MS = 15_000;
const POLL_INTERVAL_MS = 100;

/** A pair of faults, and the time until the system had recovered from it. */
export interface FaultRunResult {
  readonly pair: readonly [string, string];
  readonly healedMs: number;
}

/** Runs seeds one after the other on one deployment, with one common history. */
export class FaultRunner {
  private readonly events: FaultEvent[] = [];
  private readonly operators: Operators;

  constructor(
    private readonly deployment: Deployment,
    private readonly control: ControlClient
  ) {
    this.operators = new Operators(control, this.record);
  }

  /** Submits the first rules and waits until every process serves. */
  async prepare(): Promise<void> {
    await this.operators.submit();
    const traffic = this.traffic(new SeededRandom(0), 'first');
    await traffic.stop();
    const missing = await this.waitForRecovery(traffic, Date.now());
    if (missing.length > 0) throw new Error(missing.join(', '));
  }

  async run(seed: number): Promise<FaultRunResult> {
    const random = new SeededRandom(seed);
    // Sorted, since the order in which processes start varies between runs of a seed.
    const names = [...this.deployment.processNames()].sort();
    const [first, second] = pickPair(random, names);
    const [firstMs, secondMs, zonesMs] = pickTimes(
      random,
      0,
      MAX_START_DELAY_MS
    );
    const [firstHoldMs, secondHoldMs] = pickTimes(
      random,
      MIN_FAULT_MS,
      MAX_FAULT_MS
    );
    const zoneChanges = pickZoneChanges(random, this.deployment.shape.zones);
    const traffic = this.traffic(random, `${seed}`);
    const {deployment, control, operators, record} = this;
    const context = {deployment, control, operators, traffic, record};
    await Promise.all([
      delay(firstMs).then(() => runFault(context, first, firstHoldMs)),
      delay(secondMs).then(() => runFault(context, second, secondHoldMs)),
      delay(zonesMs).then(() => this.changeZones(zoneChanges)),
    ]);
    const sinceMs = Date.now();
    await this.operators.submit([]);
    await this.waitForRecovery(traffic, sinceMs);
    await traffic.stop();
    return {
      pair: [describeFault(first), describeFault(second)],
      healedMs: Date.now() - sinceMs,
    };
  }

  /** Events of all runs so far, with those from the records of fakes and the logs. */
  history(): History {
    const names = this.deployment.processNames();
    return [
      ...this.events,
      ...this.deployment.targets.flatMap(target => this.targetEvents(target)),
      ...names
        .filter(name => /^(entry|agent)-/.test(name))
        .flatMap(name => appliedRevisions(name, this.deployment.logFile(name))),
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

  private async waitForRecovery(
    traffic: Traffic,
    sinceMs: number
  ): Promise<readonly string[]> {
    for (;;) {
      const state = await this.unmetConditions(traffic);
      const isTimeout = Date.now() - sinceMs > MAX_RECOVERY_MS;
      if (state.missing.length > 0 && !isTimeout) {
        await delay(POLL_INTERVAL_MS);
        continue;
      }
      this.record({kind: 'settled', sinceMs, atMs: Date.now(), ...state});
      return state.missing;
    }
  }

  private async unmetConditions(traffic: Traffic) {
    const status = await this.control.status().catch(() => undefined);
    if (status === undefined)
      return {missing: ['control answers'], revision: 0, text: ''};
    const {processes, instances, targets, revision, rulesText} = status;
    const missing: string[] = [];
    const held = new Map(processes.map(p => [p.processId, p.heldRevision]));
    for (const name of this.deployment.processNames())
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

  private targetEvents({targetId, availabilityZone}: TargetPair): History {
    const file = this.deployment.recordFile(`fake-${targetId}`);
    return readRecord(file).map(line =>
      toEvent(line, targetId, availabilityZone)
    );
  }
}

/** Picks two faults, but never two wipes: two lost disks of three lose the quorum. */
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

/** Rule changes during the faults: none, a zone out, or a zone out, in and out again. */
function pickZoneChanges(
  random: SeededRandom,
  zones: readonly string[]
): readonly (readonly string[])[] {
  if (!random.chance(ZONE_OUT_PROBABILITY)) return [];
  const out = [random.pick(zones)];
  return random.chance(QUICK_RETURN_PROBABILITY) ? [out, [], out] : [out];
}

function pickTimes(
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

/** Reads from a log when a process applied which revision. */
function appliedRevisions(process: string, logFile: string): History {
  return readFileSync(logFile, 'utf8')
    .split('\n')
    .filter(line => line.includes('"msg":"rules in force"'))
    .map(line => {
      const {revision, time} = JSON.parse(line);
      return {kind: 'in force', atMs: Date.parse(time), process, revision};
    });
}
