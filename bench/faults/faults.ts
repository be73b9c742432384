/** The faults of a run: each begins, lasts and is undone by itself. */

import {rmSync} from 'node:fs';
import {setTimeout as delay} from 'node:timers/promises';
import type {ControlClient} from '../../src/cli/controlClient';
import {unreachable} from '../../src/core/errors';
import type {CutDirection} from '../deployment/cutRelay';
import type {Deployment} from '../deployment/deployment';
import type {SeededRandom} from '../fuzz/schedule';
import type {FaultEvent} from './history';
import type {Operators} from './operators';
import type {Traffic} from './traffic';

/** Time in which the platform's balancer sees that an entry is not ready. */
const BALANCER_MS = 200;
const FAR_BEHIND_REVISIONS = 60;
const RACES = 5;
const RESTART_TRIES = 5;

/** One fault, as the seed chose it. */
export type Fault =
  | {readonly kind: 'kill' | 'freeze'; readonly who: Who}
  | {
      readonly kind: 'cut from control';
      readonly who: Who;
      readonly direction: CutDirection;
    }
  | {
      readonly kind: 'cut entry from agent';
      readonly entry: string;
      readonly agent: string;
      readonly direction: CutDirection;
    }
  | {readonly kind: 'wipe'}
  | {readonly kind: 'SIGTERM'; readonly who: Who}
  | {readonly kind: 'operators race'}
  | {readonly kind: 'restart far behind'; readonly who: Who};

/** A process by name, or the control instance that has a role by then. */
export type Who = string | {readonly role: 'leader' | 'follower'};

/** What a fault acts on. */
export interface World {
  readonly deployment: Deployment;
  readonly control: ControlClient;
  readonly operators: Operators;
  readonly traffic: Traffic;
  readonly record: (event: FaultEvent) => void;
}

const DIRECTIONS: readonly CutDirection[] = ['both', 'to server', 'to client'];

/** Every kind alike, whatever the number of processes. */
export function pickFault(
  random: SeededRandom,
  names: readonly string[]
): Fault {
  const some = (prefix: string) =>
    random.pick(names.filter(name => name.startsWith(prefix)));
  const role = {role: random.pick(['leader', 'follower'] as const)};
  const agent = some('agent-');
  const entry = some('entry-');
  const target = some('fake-');
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

/** For people: `freeze agent-planner-1`. */
export function describeFault(fault: Fault): string {
  const nameOf = (who: Who) => (typeof who === 'string' ? who : who.role);
  switch (fault.kind) {
    case 'cut from control':
      return `cut ${nameOf(fault.who)} from control (${fault.direction})`;
    case 'cut entry from agent':
      return `cut ${fault.entry} from ${fault.agent} (${fault.direction})`;
    case 'wipe':
      return 'wipe follower';
    case 'operators race':
      return fault.kind;
    default:
      return `${fault.kind} ${nameOf(fault.who)}`;
  }
}

/** Resolves when the fault is undone. */
export async function runFault(
  world: World,
  fault: Fault,
  holdMs: number
): Promise<void> {
  switch (fault.kind) {
    case 'kill':
      return kill(world, await nameOf(world, fault.who), holdMs);
    case 'freeze':
      return freeze(world, await nameOf(world, fault.who), holdMs);
    case 'cut from control': {
      const name = await nameOf(world, fault.who);
      return cut(world, [name, 'control'], fault.direction, holdMs);
    }
    case 'cut entry from agent': {
      const {entry, agent, direction} = fault;
      return cut(world, [entry, agent], direction, holdMs);
    }
    case 'wipe':
      return wipe(world);
    case 'SIGTERM':
      return endGracefully(world, await nameOf(world, fault.who), holdMs);
    case 'operators race':
      for (let i = 0; i < RACES; i++) await world.operators.race();
      return;
    case 'restart far behind':
      return farBehind(world, await nameOf(world, fault.who));
    default:
      return unreachable(fault);
  }
}

async function nameOf({control, deployment}: World, who: Who): Promise<string> {
  if (typeof who === 'string') return who;
  const {instances} = await control.status();
  const leader = instances.find(({role}) => role === 'leader')?.instanceId;
  const names = deployment.names().filter(name => name.startsWith('control-'));
  const found = names.find(
    name => (name === leader) === (who.role === 'leader')
  );
  return found ?? names[0] ?? '';
}

async function kill(world: World, name: string, holdMs: number): Promise<void> {
  const fromMs = Date.now();
  await world.deployment.child(name).end('SIGKILL');
  await delay(holdMs);
  await startAgain(world, name);
  disturbed(world, 'stopped', [name], fromMs);
}

async function freeze(
  world: World,
  name: string,
  holdMs: number
): Promise<void> {
  const fromMs = Date.now();
  const {process} = world.deployment.child(name);
  process.kill('SIGSTOP');
  await delay(holdMs);
  process.kill('SIGCONT');
  disturbed(world, 'frozen', [name], fromMs);
}

/** Each name is a prefix: `control` is every control instance. */
async function cut(
  world: World,
  [one, other]: readonly [string, string],
  direction: CutDirection,
  holdMs: number
): Promise<void> {
  const fromMs = Date.now();
  const isMeant = (from: string, to: string) =>
    (from === one && to.startsWith(other)) ||
    (to === one && from.startsWith(other)) ||
    // A control instance is cut off from everybody.
    (one.startsWith('control-') && to === one);
  world.deployment.links.cut(isMeant, direction);
  await delay(holdMs);
  world.deployment.links.heal(isMeant);
  disturbed(world, 'cut', [one, other], fromMs);
}

async function wipe(world: World): Promise<void> {
  const name = await nameOf(world, {role: 'follower'});
  const fromMs = Date.now();
  await world.deployment.child(name).end('SIGKILL');
  rmSync(world.deployment.dataFolder(name), {recursive: true, force: true});
  await startAgain(world, name);
  disturbed(world, 'stopped', [name], fromMs);
}

async function endGracefully(
  {deployment, record, traffic, ...world}: World,
  name: string,
  holdMs: number
): Promise<void> {
  const child = deployment.child(name);
  if (!child.running) return;
  record({kind: 'leaving', atMs: Date.now(), process: name});
  const entry = entryIndex(name);
  const ended = child.end('SIGTERM');
  if (entry !== undefined) {
    await delay(BALANCER_MS);
    traffic.notReady.add(entry);
  }
  const code = await ended;
  record({kind: 'left', atMs: Date.now(), process: name, code});
  await delay(holdMs);
  await startAgain({...world, deployment, record, traffic}, name);
  if (entry !== undefined) traffic.notReady.delete(entry);
}

async function farBehind(world: World, name: string): Promise<void> {
  const fromMs = Date.now();
  await world.deployment.child(name).end('SIGKILL');
  for (let i = 0; i < FAR_BEHIND_REVISIONS; i++) await world.operators.submit();
  await startAgain(world, name);
  disturbed(world, 'stopped', [name], fromMs);
}

/** Another fault may have started it already, or its port be lent meanwhile. */
async function startAgain(
  {deployment, record}: World,
  name: string
): Promise<void> {
  for (let i = 1; !deployment.child(name).running; i++) {
    try {
      await deployment.restart(name);
      record({kind: 'started', atMs: Date.now(), process: name});
    } catch (err) {
      if (i === RESTART_TRIES) throw err;
    }
  }
}

function disturbed(
  {record}: World,
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
