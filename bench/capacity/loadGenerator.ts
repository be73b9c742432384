/** Closed-loop HTTP load from one process, bounded in time and in calls. */

import http from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {build} from 'hdr-histogram-js';

/** The calls to send. */
export interface LoadPlan {
  readonly port: number;
  readonly method: string;
  readonly path: string;
  /** Body of each call; empty for none. */
  readonly body: string;
  readonly customer: string;
  readonly connections: number;
  /** Calls before the measurement starts, to warm up both sides. */
  readonly warmupCalls: number;
  readonly seconds: number;
  readonly maxCalls: number;
  /** Pause of each connection after a call. */
  readonly pauseMs?: number;
  /** Target rate over all connections; without it, calls follow each other at once. */
  readonly callsPerS?: number;
}

/** The measured throughput and latencies. */
export interface LoadResult {
  readonly calls: number;
  /** Responses other than 2xx, and calls without a complete response. */
  readonly failed: number;
  readonly callsPerS: number;
  readonly bytes: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly firstByteP50Ms: number;
  readonly firstByteP99Ms: number;
}

/** The histograms record microseconds. */
const US_PER_MS = 1_000;
const MAX_LATENCY_US = 60_000_000;

class Load {
  private readonly agent: http.Agent;
  private readonly responseTimes = build({
    highestTrackableValue: MAX_LATENCY_US,
  });
  private readonly firstByteTimes = build({
    highestTrackableValue: MAX_LATENCY_US,
  });
  private calls = 0;
  private failed = 0;
  private bytes = 0;

  constructor(private readonly plan: LoadPlan) {
    this.agent = new http.Agent({
      keepAlive: true,
      maxSockets: plan.connections,
    });
  }

  async run(): Promise<LoadResult> {
    const {warmupCalls, seconds, maxCalls} = this.plan;
    await this.drive(Infinity, warmupCalls, 0);
    this.reset();
    const startedAtMs = performance.now();
    await this.drive(
      startedAtMs + seconds * 1_000,
      maxCalls,
      this.intervalMs()
    );
    const elapsedS = (performance.now() - startedAtMs) / 1_000;
    this.agent.destroy();
    return this.result(elapsedS);
  }

  /** Time between the starts of two calls of a connection; 0 without a target rate. */
  private intervalMs(): number {
    const {callsPerS, connections} = this.plan;
    return callsPerS === undefined ? 0 : (connections * 1_000) / callsPerS;
  }

  /** Sends calls on all connections, one at a time on each, until either limit is reached. */
  private async drive(
    endAtMs: number,
    maxCalls: number,
    intervalMs: number
  ): Promise<void> {
    const {connections, pauseMs = 0} = this.plan;
    const startedAtMs = performance.now();
    let started = 0;
    const loop = async (index: number) => {
      // Starts are staggered: calls that begin at the same time would queue.
      let dueAtMs = startedAtMs + (intervalMs * index) / connections;
      while (performance.now() < endAtMs && started++ < maxCalls) {
        const earlyMs = dueAtMs - performance.now();
        if (earlyMs > 0) await delay(earlyMs);
        dueAtMs += intervalMs;
        await this.call();
        if (pauseMs > 0) await delay(pauseMs);
      }
    };
    await Promise.all(Array.from({length: connections}, (_, i) => loop(i)));
  }

  private reset(): void {
    this.responseTimes.reset();
    this.firstByteTimes.reset();
    this.calls = 0;
    this.failed = 0;
    this.bytes = 0;
  }

  private call(): Promise<void> {
    const {port, method, path, body, customer} = this.plan;
    const startedAtMs = performance.now();
    const headers = {
      'x-customer': customer,
      ...(body === ''
        ? {}
        : {
            'content-type': 'application/json',
            'content-length': Buffer.byteLength(body),
          }),
    };
    return new Promise(resolve => {
      const {agent} = this;
      const options = {host: '127.0.0.1', port, agent, method, path, headers};
      const done = (ok: boolean) => {
        this.calls++;
        if (!ok) this.failed++;
        this.responseTimes.recordValue(microsecondsSince(startedAtMs));
        resolve();
      };
      const req = http.request(options, res => {
        const ok = Math.floor((res.statusCode ?? 0) / 100) === 2;
        res.once('data', () =>
          this.firstByteTimes.recordValue(microsecondsSince(startedAtMs))
        );
        res.on('data', (chunk: Buffer) => (this.bytes += chunk.length));
        res.on('end', () => done(ok && res.complete));
        res.on('error', () => done(false));
      });
      req.on('error', () => done(false));
      req.end(body === '' ? undefined : body);
    });
  }

  private result(elapsedS: number): LoadResult {
    const {responseTimes, firstByteTimes, calls, failed, bytes} = this;
    return {
      calls,
      failed,
      callsPerS: (calls - failed) / elapsedS,
      bytes,
      p50Ms: responseTimes.getValueAtPercentile(50) / US_PER_MS,
      p99Ms: responseTimes.getValueAtPercentile(99) / US_PER_MS,
      firstByteP50Ms: firstByteTimes.getValueAtPercentile(50) / US_PER_MS,
      firstByteP99Ms: firstByteTimes.getValueAtPercentile(99) / US_PER_MS,
    };
  }
}

function microsecondsSince(startedAtMs: number): number {
  return Math.round((performance.now() - startedAtMs) * US_PER_MS);
}

/** Sends the calls; resolves when the time is over or all calls are done. */
export function generateLoad(plan: LoadPlan): Promise<LoadResult> {
  return new Load(plan).run();
}
