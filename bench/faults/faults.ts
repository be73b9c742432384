/** The kinds of faults, each of which is injected, held and undone on its own. */

import {rmSync} from 'node:fs';
import {setTimeout as delay} from 'node:timers/promises';
import type {ControlClient} from '../../src/cli/controlClient';
import {unreachable} from '../../src/core/errors';
import type {CutDirection} from '../deployment/cutRelay';
import type {Deployment} from '../deployment/deployment';
import type {SeededRandom} from '../fuzz/schedule';
import type {FaultEvent} from './history';
import type {Operators} from './ruleOperators';
import type {Traffic} from './traffic';

/** Time until the platform's balancer detects that an entry is not ready. */
const READINESS_DETECTION_MS = 200;
const MISSED_REVISIONS = 60;
const RACE_COUNT = 5;
const MAX_RESTART_ATTEMPTS = 5;

/** One fault, as chosen by the seed. */
export type Fault =
  | {readonly kind: 'kill' | 'freeze'; readonly who: ProcessRef}
  | {
      readonly kind: 'cut from control';
      readonly who: ProcessRef;
      readonly direction: CutDirection;
    }
  | {
      readonly kind: 'cut entry from agent';
      readonly entry: string;
      readonly agent: string;
      readonly direction: CutDirection;
    }
  | {readonly kind: 'wipe'}
  | {readonly kind: 'SIGTERM'; readonly who: ProcessRef}
  | {readonly kind: 'operators race'}
  | {readonly kind: 'restart far behind'; readonly who: ProcessRef};

/** A process by name, or a control instance that has this role when the fault begins. */
export type ProcessRef = string | {readonly role: 'leader' | 'follower'};

/** What a fault can act on. */
export interface FaultContext {
  readonly deployment: Deployment;
  readonly control: ControlClient;
  readonly operators: Operators;
  readonly traffic: Traffic;
  readonly record: (event: FaultEvent) => void;
}

const DIRECTIONS: readonly CutDirection[] = ['both', 'to server', 'to client'];

/** Picks a fault; all kinds are equally likely, whatever the number of processes. */
export function pickFault(
  random: SeededRandom,
  names: readonly string[]
): Fault {
  const pickProcess = (prefix: string) =>
    random.pick(names.filter(name => name.startsWith(prefix)));
  const role = {role: random.pick(['leader', 'follower'] as const)};
  const agent = pickProcess('agent-');
  const entry = pickProcess('entry-');
  const target = pickProcess('fake-');
  const direction = random.pick(DIRECTIONS);
  const member = random.pick([entry, agent, role]);
  return random.pick<Fault>([
    {kind: 'kill', who: member},
    {kind: 'kill', who: target},
    {kind: 'freeze', who: member},
    {kind: 'freeze', who: target},
    {kind: 'cut from control', who: member, direction},
    {kind: 'cut entry from agent', entry, agent, direction},
    {kind: 'wipe'},
    {kind: 'SIGTERM', who: random.pick([entry, agent])},
    {kind: 'operators race'},
    {kind: 'restart far behind', who: member},
  ]);
}

/** Text for the output, such as `freeze agent-planner-1`. */
export function describeFault(fault: Fault): string {
  const label = (who: ProcessRef) => (typeof who === 'string' ? who : who.role);
  switch (fault.kind) {
    case 'cut from control':
      return `cut ${label(fault.who)} from control (${fault.direction})`;
    case 'cut entry from agent':
      return `cut ${fault.entry} from ${fault.agent} (${fault.direction})`;
    case 'wipe':
      return 'wipe follower';
    case 'operators race':
      return fault.kind;
    default:
      return `${fault.kind} ${label(fault.who)}`;
  }
}

/** Injects a fault, holds it for `holdMs` and undoes it. */
export async function runFault(
  context: FaultContext,
  fault: Fault,
  holdMs: number
): Promise<void> {
  switch (fault.kind) {
    case 'kill':
      return kill(context, await nameOf(context, fault.who), holdMs);
    case 'freeze':
      return freeze(context, await nameOf(context, fault.who), holdMs);
    case 'cut from control': {
      const name = await nameOf(context, fault.who);
      return cut(context, [name, 'control'], fault.direction, holdMs);
    }
    case 'cut entry from agent': {
      const {entry, agent, direction} = fault;
      return cut(context, [entry, agent], direction, holdMs);
    }
    case 'wipe':
      return wipe(context);
    case 'SIGTERM':
      return endGracefully(context, await nameOf(context, fault.who), holdMs);
    case 'operators race':
      for (let i = 0; i < RACE_COUNT; i++) await context.operators.race();
      return;
    case 'restart far behind':
      return restartFarBehind(context, await nameOf(context, fault.who));
    default:
      return unreachable(fault);
  }
}

async function nameOf(
  {control, deployment}: FaultContext,
  who: ProcessRef
): Promise<string> {
  if (typeof who === 'string') return who;
  const {instances} = await control.status();
  const leader = instances.find(({role}) => role === 'leader')?.instanceId;
  const names = deployment
    .processNames()
    .filter(name => name.startsWith('control-'));
  const found = names.find(
    name => (name === leader) === (who.role === 'leader')
  );
  return found ?? names[0] ?? '';
}

async function kill(
  context: FaultContext,
  name: string,
  holdMs: number
): Promise<void> {
  const fromMs = Date.now();
  await context.deployment.child(name).end('SIGKILL');
  await delay(holdMs);
  await restartIfStopped(context, name);
  recordFault(context, 'stopped', [name], fromMs);
}

async function freeze(
  context: FaultContext,
  name: string,
  holdMs: number
): Promise<void> {
  const fromMs = Date.now();
  const {process} = context.deployment.child(name);
  process.kill('SIGSTOP');
  await delay(holdMs);
  process.kill('SIGCONT');
  recordFault(context, 'frozen', [name], fromMs);
}

/** Cuts the links between process `one` and all processes whose name starts with `other`. */
async function cut(
  context: FaultContext,
  [one, other]: readonly [string, string],
  direction: CutDirection,
  holdMs: number
): Promise<void> {
  const fromMs = Date.now();
  const isSelected = (from: string, to: string) =>
    (from === one && to.startsWith(other)) ||
    (to === one && from.startsWith(other)) ||
    // A control instance is cut off from all processes.
    (one.startsWith('control-') && to === one);
  context.deployment.links.cut(isSelected, direction);
  await delay(holdMs);
  context.deployment.links.heal(isSelected);
  recordFault(context, 'cut', [one, other], fromMs);
}

async function wipe(context: FaultContext): Promise<void> {
  const name = await nameOf(context, {role: 'follower'});
  const fromMs = Date.now();
  await context.deployment.child(name).end('SIGKILL');
  rmSync(context.deployment.dataFolder(name), {recursive: true, force: true});
  await restartIfStopped(context, name);
  recordFault(context, 'stopped', [name], fromMs);
}

async function endGracefully(
  {deployment, record, traffic, ...context}: FaultContext,
  name: string,
  holdMs: number
): Promise<void> {
  const child = deployment.child(name);
  if (!child.running) return;
  record({kind: 'leaving', atMs: Date.now(), process: name});
  const entry = entryIndex(name);
  const ended = child.end('SIGTERM');
  if (entry !== undefined) {
    await delay(READINESS_DETECTION_MS);
    traffic.notReady.add(entry);
  }
  const code = await ended;
  record({kind: 'left', atMs: Date.now(), process: name, code});
  await delay(holdMs);
  await restartIfStopped({...context, deployment, record, traffic}, name);
  if (entry !== undefined) traffic.notReady.delete(entry);
}

async function restartFarBehind(
  context: FaultContext,
  name: string
): Promise<void> {
  const fromMs = Date.now();
  await context.deployment.child(name).end('SIGKILL');
  for (let i = 0; i < MISSED_REVISIONS; i++) await context.operators.submit();
  await restartIfStopped(context, name);
  recordFault(context, 'stopped', [name], fromMs);
}

/**
 * Restarts a process unless the other fault has already done so. Retries, since
 * its port may be in use by another connection meanwhile.
 */
async function restartIfStopped(
  {deployment, record}: FaultContext,
  name: string
): Promise<void> {
  for (let i = 1; !deployment.child(name).running; i++) {
    try {
      await deployment.restart(name);
      record({kind: 'started', atMs: Date.now(), process: name});
    } catch (err) {
      if (i === MAX_RESTART_ATTEMPTS) throw err;
    }
  }
}

function recordFault(
  {record}: FaultContext,
  fault: 'stopped' | 'frozen' | 'cut',
  processes: readonly string[],
  fromMs: number
): void {
  record({kind: 'disturbed', fromMs, toMs: Date.now(), processes, fault});
}

function entryIndex(name: string): number | undefined {
  const index = /^entry-(\d+)$/.exec(name)?.[1];
  return index === undefined ? undefined : Number(index);
}
