/**
 * `controlCost`: processor time, resident memory and bytes on the wire of each
 * role as the number of agents grows, idle and under a small load.
 */

import {setTimeout as delay} from 'node:timers/promises';
import {CounterSink} from '../capacity/counterSink';
import {Point, fitLine, mean} from '../capacity/leastSquares';
import {processorMs, residentBytes} from '../capacity/processCost';
import {runLoad} from '../capacity/runLoad';
import {Deployment} from '../deployment/deployment';
import {BUILT_PROGRAMS} from '../deployment/programs';
import {rulesText} from '../deployment/rulesText';
import type {DeploymentShape, PoolShape} from '../deployment/shape';
import type {Figures, Measure, MeasureOptions, MeasureResult} from '../measure';

const ROLES = ['entry', 'agent', 'leader', 'follower'] as const;
type Role = (typeof ROLES)[number];

const SIZES = [6, 18, 54] as const;
const QUICK_SIZES = [2, 4, 6] as const;
const ENTRIES = 2;
const WINDOW_S = 6;
const QUICK_WINDOW_S = 1;
/** Time until new agents are known everywhere and start-up work has ended. */
const SETTLE_MS = 4_000;
const QUICK_SETTLE_MS = 300;
const LOAD_CONNECTIONS = 4;
const LOAD_PAUSE_MS = 100;

const POOL: PoolShape = {
  pool: 'planner',
  kind: 'engine',
  count: 0,
  fakeArgs: ['--step-ms', '5'],
  sharedFake: true,
};

/** The users' limits for the cost of control, per node. */
const LIMITS = {processorPercent: 3.1, rssMb: 64, bytesPerS: 6_000};

/** Cost of one process, or the mean of one role, in one window. */
interface Sample {
  readonly processorPercent: number;
  readonly rssMb: number;
  readonly bytesPerS: number;
}

type ByRole = Readonly<Record<Role, Sample>>;

/** Costs of both windows at one number of agents. */
interface SizeResult {
  readonly agents: number;
  readonly idle: ByRole;
  readonly load: ByRole;
}

class ControlCost {
  constructor(
    private readonly deployment: Deployment,
    private readonly sink: CounterSink,
    private readonly leader: string,
    private readonly windowS: number,
    private readonly settleMs: number
  ) {}

  async measure(agents: number): Promise<SizeResult> {
    await this.deployment.growPool(POOL, agents);
    await delay(this.settleMs);
    const idle = await this.window(delay(this.windowS * 1_000));
    const load = await this.window(this.load());
    return {agents, idle, load};
  }

  private load(): Promise<unknown> {
    const loads = Array.from({length: ENTRIES}, (_, i) =>
      runLoad({
        port: this.deployment.entryPort(i),
        method: 'POST',
        path: '/v1/chat/completions',
        body: JSON.stringify({
          model: 'planner',
          max_tokens: 8,
          messages: [{role: 'user', content: 'a plan for tonight'}],
        }),
        customer: 'harbour',
        connections: LOAD_CONNECTIONS,
        warmupCalls: 0,
        seconds: this.windowS,
        maxCalls: 1_000_000,
        pauseMs: LOAD_PAUSE_MS,
      })
    );
    return Promise.all(loads);
  }

  private async window(during: Promise<unknown>): Promise<ByRole> {
    const names = this.deployment
      .processNames()
      .filter(name => !name.startsWith('fake-'));
    const pids = names.map(name => this.deployment.child(name).pid);
    const cpuBefore = pids.map(processorMs);
    const bytesBefore = this.sink.snapshot();
    const startedAtMs = performance.now();
    await during;
    const elapsedMs = performance.now() - startedAtMs;
    const cpuAfter = pids.map(processorMs);
    const bytesAfter = this.sink.snapshot();
    const samples = names.map((name, i) => {
      const cpuMs = (cpuAfter[i] ?? 0) - (cpuBefore[i] ?? 0);
      const bytes = (bytesAfter.get(name) ?? 0) - (bytesBefore.get(name) ?? 0);
      return {
        role: this.roleOf(name),
        processorPercent: (100 * cpuMs) / elapsedMs,
        rssMb: residentBytes(pids[i] ?? 0) / 1e6,
        bytesPerS: (1_000 * bytes) / elapsedMs,
      };
    });
    return byRole(samples);
  }

  private roleOf(name: string): Role {
    if (name === this.leader) return 'leader';
    if (name.startsWith('control-')) return 'follower';
    return name.startsWith('entry-') ? 'entry' : 'agent';
  }
}

function byRole(samples: readonly (Sample & {readonly role: Role})[]): ByRole {
  const meanOf = (role: Role): Sample => {
    const own = samples.filter(sample => sample.role === role);
    return {
      processorPercent: mean(own.map(one => one.processorPercent)),
      rssMb: mean(own.map(one => one.rssMb)),
      bytesPerS: mean(own.map(one => one.bytesPerS)),
    };
  };
  return {
    entry: meanOf('entry'),
    agent: meanOf('agent'),
    leader: meanOf('leader'),
    follower: meanOf('follower'),
  };
}

const QUANTITIES = ['processorPercent', 'rssMb', 'bytesPerS'] as const;

/** Figures such as `entry.idle.bytesPerS.at54`, with `.slope`, `.intercept` and `.r2` of each line. */
function figuresOf(results: readonly SizeResult[]): Figures {
  const figures: Record<string, number> = {};
  for (const role of ROLES) {
    for (const state of ['idle', 'load'] as const) {
      for (const quantity of QUANTITIES) {
        const name = `${role}.${state}.${quantity}`;
        const points: Point[] = results.map(result => ({
          x: result.agents,
          y: result[state][role][quantity],
        }));
        for (const {x, y} of points) figures[`${name}.at${x}`] = round(y);
        const line = fitLine(points);
        figures[`${name}.slope`] = round(line.slope);
        figures[`${name}.intercept`] = round(line.intercept);
        figures[`${name}.r2`] = round(line.r2);
      }
    }
  }
  return figures;
}

function round(value: number): number {
  return Number(value.toPrecision(4));
}

/** Quantities that exceed the users' limits at the largest size, idle. */
function exceededLimits(largest: SizeResult): readonly string[] {
  return (['entry', 'agent'] as const).flatMap(role =>
    QUANTITIES.filter(
      quantity => largest.idle[role][quantity] > LIMITS[quantity]
    ).map(quantity => {
      const value = largest.idle[role][quantity];
      return `${role} ${quantity} ${round(value)}`;
    })
  );
}

async function findLeader(deployment: Deployment): Promise<string> {
  const {output} = await deployment.client(['status', '--json']);
  const match = /"instanceId":\s*"([\w-]+)",\s*"role":\s*"leader"/.exec(output);
  return match?.[1] ?? 'control-0';
}

async function run({quick}: MeasureOptions): Promise<MeasureResult> {
  const sink = await CounterSink.start('peer.bytes');
  const shape: DeploymentShape = {
    zones: ['zone-a', 'zone-b', 'zone-c'],
    controls: 3,
    entries: ENTRIES,
    pools: [],
    drainMs: 0,
    logLevel: 'warn',
    metricsPort: sink.port,
  };
  const deployment = await Deployment.start(BUILT_PROGRAMS, shape);
  try {
    const {code, output} = await deployment.submit(rulesText({revision: 1}));
    if (code !== 0) throw new Error(`rules refused: ${output}`);
    const cost = new ControlCost(
      deployment,
      sink,
      await findLeader(deployment),
      quick ? QUICK_WINDOW_S : WINDOW_S,
      quick ? QUICK_SETTLE_MS : SETTLE_MS
    );
    const results: SizeResult[] = [];
    for (const size of quick ? QUICK_SIZES : SIZES)
      results.push(await cost.measure(size));
    return toResult(results);
  } finally {
    await deployment.stop();
    sink.close();
  }
}

function toResult(results: readonly SizeResult[]): MeasureResult {
  const largest = results.at(-1);
  if (largest === undefined) throw new Error('no size was measured');
  const over = exceededLimits(largest);
  return {
    ours: figuresOf(results),
    baselines: {limit: LIMITS},
    mark: `entry and agent idle at ${largest.agents} agents within 3.1% of a core, 64 MB and 6 KB/s, whole process`,
    met: over.length === 0,
    cause: over.length === 0 ? undefined : `over: ${over.join(', ')}`,
  };
}

/** See the head of this file. */
export const controlCost: Measure = {key: 'controlCost', run};
