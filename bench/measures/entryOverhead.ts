/**
 * `entryOverhead`: cost of entry and agent per call, compared with a bare proxy
 * in front of the same target in the same run, for whole responses and streams.
 */

import path from 'node:path';
import {LoadPlan, LoadResult} from '../capacity/loadGenerator';
import {processorMs} from '../capacity/processCost';
import {CAPACITY_PROGRAM, runLoad} from '../capacity/runLoad';
import {Child} from '../deployment/childProcess';
import {Deployment} from '../deployment/deployment';
import {BUILT_PROGRAMS} from '../deployment/programs';
import type {DeploymentShape} from '../deployment/shape';
import type {Figures, Measure, MeasureOptions, MeasureResult} from '../measure';

const CONNECTIONS = 32;
/** Rounds alternate between ours and the bare proxy, so a busy machine slows down both. */
const ROUNDS = 3;
const MIN_THROUGHPUT_SHARE = 0.7;
const STREAM_TOKENS = 64;
const ANSWER_BYTES = 1_024;
/** Share of our maximum call rate at which queueing adds little latency. */
const HALF_LOAD = 0.5;
const MAX_READY_ATTEMPTS = 100;
const READY_INTERVAL_MS = 50;

const SHAPE: DeploymentShape = {
  zones: ['zone-a'],
  controls: 3,
  entries: 1,
  pools: [
    {pool: 'allocation', kind: 'service', count: 1, fakeArgs: []},
    {
      pool: 'planner',
      kind: 'engine',
      count: 1,
      fakeArgs: ['--step-ms', '1', '--batch-size', '64'],
    },
  ],
  drainMs: 0,
  logLevel: 'warn',
};

const RULES = [
  'revision 1',
  'pool planner engine',
  'pool allocation service',
  'customer harbour share=1',
  'route customer=any path=/v1/ pool=planner',
  'route customer=any path=/ pool=allocation',
  'warmup planner start=64 full=64 over=1s',
  'warmup allocation start=64 full=64 over=1s',
]
  .map(line => `${line} # asked by the bench\n`)
  .join('');

type WarmedUpCall = Pick<LoadPlan, 'method' | 'path' | 'body' | 'warmupCalls'>;

/** A call without warm-up calls, which are needed since cold code is several times slower. */
type RequestSpec = Omit<WarmedUpCall, 'warmupCalls'>;

const WHOLE: RequestSpec = {
  method: 'GET',
  path: `/?bytes=${ANSWER_BYTES}`,
  body: '',
};
const STREAM: RequestSpec = {
  method: 'POST',
  path: '/v1/chat/completions',
  body: JSON.stringify({
    model: 'planner',
    stream: true,
    max_tokens: STREAM_TOKENS,
    messages: [{role: 'user', content: 'a plan for tonight'}],
  }),
};

/** Results of one kind of call through both, with the processor time per call. */
interface ComparedLoad {
  readonly ours: LoadResult;
  readonly bare: LoadResult;
  readonly entryUs: number;
  readonly agentUs: number;
  readonly bareUs: number;
}

/** Results at the same call rate through both, well below the maximum of either. */
interface HalfLoadResult {
  readonly ours: LoadResult;
  readonly bare: LoadResult;
}

/** The round with the median throughput share; all figures are taken from this one round. */
function medianRound(rounds: readonly ComparedLoad[]): ComparedLoad {
  const share = ({ours, bare}: ComparedLoad) => ours.callsPerS / bare.callsPerS;
  const sorted = [...rounds].sort((a, b) => share(a) - share(b));
  const median = sorted[Math.floor(sorted.length / 2)];
  if (median === undefined) throw new Error('no round was run');
  return median;
}

class Comparison {
  constructor(
    private readonly deployment: Deployment,
    private readonly seconds: number,
    private readonly rounds: number
  ) {}

  async run(
    pool: string,
    call: WarmedUpCall
  ): Promise<{readonly full: ComparedLoad; readonly half: HalfLoadResult}> {
    const target = this.deployment.targets.find(one => one.pool === pool);
    if (target === undefined) throw new Error(`no target in ${pool}`);
    const proxy = await Child.start(
      `proxy-${pool}`,
      [CAPACITY_PROGRAM, 'proxy', String(target.fakePort)],
      path.join(this.deployment.folder, 'logs', `proxy-${pool}.log`)
    );
    const entry = this.deployment.child('entry-0').pid;
    const agent = this.deployment.child(`agent-${target.targetId}`).pid;
    try {
      const entryPort = this.deployment.entryPort(0);
      await this.waitUntilServed(entryPort, call);
      const rounds: ComparedLoad[] = [];
      for (let i = 0; i < this.rounds; i++) {
        const ours = await this.round(entryPort, call, [entry, agent]);
        const bare = await this.round(proxy.hello.port, call, [proxy.pid]);
        rounds.push({
          ours: ours.load,
          bare: bare.load,
          entryUs: ours.usPerCall[0] ?? 0,
          agentUs: ours.usPerCall[1] ?? 0,
          bareUs: bare.usPerCall[0] ?? 0,
        });
      }
      const full = medianRound(rounds);
      const plan = {callsPerS: full.ours.callsPerS * HALF_LOAD};
      const half = {
        ours: await this.load(entryPort, call, plan),
        bare: await this.load(proxy.hello.port, call, plan),
      };
      return {full, half};
    } finally {
      await proxy.end('SIGKILL');
    }
  }

  /** Runs a load; the divisor includes the warm-up calls, as the processor time does. */
  private async round(
    port: number,
    call: WarmedUpCall,
    pids: readonly number[]
  ) {
    const before = pids.map(processorMs);
    const load = await this.load(port, call);
    const calls = load.calls + call.warmupCalls;
    const usPerCall = pids.map(
      (pid, i) => ((processorMs(pid) - (before[i] ?? 0)) * 1_000) / calls
    );
    return {load, usPerCall};
  }

  private load(
    port: number,
    call: WarmedUpCall,
    plan: Pick<LoadPlan, 'callsPerS'> = {}
  ): Promise<LoadResult> {
    return runLoad({
      ...call,
      port,
      customer: 'harbour',
      connections: CONNECTIONS,
      seconds: this.seconds,
      maxCalls: 200_000,
      ...plan,
    });
  }

  /** Waits until the rules have arrived and the target is known, so that calls are served. */
  private async waitUntilServed(
    port: number,
    call: WarmedUpCall
  ): Promise<void> {
    for (let attempt = 0; attempt < MAX_READY_ATTEMPTS; attempt++) {
      const {failed} = await singleCall(port, call);
      if (!failed) return;
      await new Promise(resolve => setTimeout(resolve, READY_INTERVAL_MS));
    }
    throw new Error(`${call.path} is not served`);
  }
}

async function singleCall(
  port: number,
  {method, path: url, body}: RequestSpec
) {
  const res = await fetch(`http://127.0.0.1:${port}${url}`, {
    method,
    headers: {'x-customer': 'harbour', 'content-type': 'application/json'},
    body: body === '' ? undefined : body,
  });
  await res.arrayBuffer();
  return {failed: !res.ok};
}

function loadFigures(whole: LoadResult, stream: LoadResult): Figures {
  return {
    wholeCallsPerS: whole.callsPerS,
    wholeP50Ms: whole.p50Ms,
    wholeP99Ms: whole.p99Ms,
    streamCallsPerS: stream.callsPerS,
    streamTokensPerS: stream.callsPerS * STREAM_TOKENS,
    streamFirstByteP50Ms: stream.firstByteP50Ms,
    streamFirstByteP99Ms: stream.firstByteP99Ms,
    failedCalls: whole.failed + stream.failed,
  };
}

/** Latency that entry and agent add while no call queues for the processor. */
function halfLoadFigures(
  whole: HalfLoadResult,
  stream: HalfLoadResult
): Figures {
  return {
    halfLoadWholeCallsPerS: whole.ours.callsPerS,
    halfLoadWholeP50Ms: whole.ours.p50Ms,
    halfLoadWholeAddedP50Ms: whole.ours.p50Ms - whole.bare.p50Ms,
    halfLoadWholeAddedP99Ms: whole.ours.p99Ms - whole.bare.p99Ms,
    halfLoadStreamCallsPerS: stream.ours.callsPerS,
    halfLoadStreamFirstByteP50Ms: stream.ours.firstByteP50Ms,
    halfLoadStreamAddedFirstByteP50Ms:
      stream.ours.firstByteP50Ms - stream.bare.firstByteP50Ms,
    halfLoadStreamAddedFirstByteP99Ms:
      stream.ours.firstByteP99Ms - stream.bare.firstByteP99Ms,
  };
}

function toResult(
  whole: ComparedLoad,
  stream: ComparedLoad,
  halfLoad: Figures
): MeasureResult {
  const wholeShare = whole.ours.callsPerS / whole.bare.callsPerS;
  const streamShare = stream.ours.callsPerS / stream.bare.callsPerS;
  const met =
    wholeShare >= MIN_THROUGHPUT_SHARE && streamShare >= MIN_THROUGHPUT_SHARE;
  const ours: Figures = {
    ...loadFigures(whole.ours, stream.ours),
    wholeThroughputShare: wholeShare,
    streamThroughputShare: streamShare,
    wholeAddedP50Ms: whole.ours.p50Ms - whole.bare.p50Ms,
    wholeAddedP99Ms: whole.ours.p99Ms - whole.bare.p99Ms,
    streamAddedFirstByteP50Ms:
      stream.ours.firstByteP50Ms - stream.bare.firstByteP50Ms,
    streamAddedFirstByteP99Ms:
      stream.ours.firstByteP99Ms - stream.bare.firstByteP99Ms,
    entryUsPerCall: whole.entryUs,
    agentUsPerCall: whole.agentUs,
    entryUsPerToken: stream.entryUs / STREAM_TOKENS,
    agentUsPerToken: stream.agentUs / STREAM_TOKENS,
    ...halfLoad,
  };
  const bareProxy: Figures = {
    ...loadFigures(whole.bare, stream.bare),
    wholeUsPerCall: whole.bareUs,
    streamUsPerToken: stream.bareUs / STREAM_TOKENS,
  };
  return {
    ours,
    baselines: {bareProxy},
    mark: `at least ${MIN_THROUGHPUT_SHARE} of the bare proxy's throughput, whole and streaming`,
    met,
    cause: met
      ? undefined
      : `whole ${wholeShare.toFixed(2)}, streaming ${streamShare.toFixed(2)}; the entry's one thread takes ${Math.round(whole.entryUs)} us a call, the proxy's ${Math.round(whole.bareUs)}`,
  };
}

async function run({quick}: MeasureOptions): Promise<MeasureResult> {
  const deployment = await Deployment.start(BUILT_PROGRAMS, {
    ...SHAPE,
    controls: quick ? 1 : SHAPE.controls,
  });
  try {
    const {code, output} = await deployment.submit(RULES);
    if (code !== 0) throw new Error(`rules refused: ${output}`);
    const comparison = quick
      ? new Comparison(deployment, 0.4, 1)
      : new Comparison(deployment, 2, ROUNDS);
    const whole = await comparison.run('allocation', {
      ...WHOLE,
      warmupCalls: quick ? 300 : 4_000,
    });
    const stream = await comparison.run('planner', {
      ...STREAM,
      warmupCalls: quick ? CONNECTIONS : 500,
    });
    const halfLoad = halfLoadFigures(whole.half, stream.half);
    return toResult(whole.full, stream.full, halfLoad);
  } finally {
    await deployment.stop();
  }
}

/** See the head of this file. */
export const entryOverhead: Measure = {key: 'entryOverhead', run};
