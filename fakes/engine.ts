/** A fake model engine over plain HTTP, for tests and the quick start. */

import type http from 'node:http';
import * as z from 'zod';
import type {Batch, Work} from './engine/batch';
import {ChatCall, ChatWriter, parseChat, prefillTokens} from './engine/chat';
import {ENGINE_DEFAULTS, EngineConfig} from './engine/engineConfig';
import {EngineCounters, EngineState, StreamFault} from './engine/engineState';
import {executeOrder} from './engine/orders';
import {StepClock, Stepper} from './engine/stepClock';
import {recordOverload, recordRun} from './runRecord';
import {
  FakeServer,
  Handler,
  parseJson,
  pathOf,
  queryOf,
  Routes,
  sendJson,
} from './http';

const DURATION_MS = z.number().nonnegative();
const CONTROL = z.discriminatedUnion('kind', [
  /** Turns cold without a restart; the status still says warm for `claimLagMs`. */
  z.object({kind: z.literal('turnCold'), claimLagMs: DURATION_MS.default(0)}),
  /** Runs no step for `ms`. */
  z.object({kind: z.literal('stall'), ms: DURATION_MS}),
  /** Drops all connections and requests, then restarts. */
  z.object({kind: z.literal('crash')}),
  z.object({
    kind: z.enum(['cutAtToken', 'endAtToken', 'repeatToken', 'stallAtToken']),
    token: z.number().int().nonnegative(),
    times: z.number().int().positive().default(1),
  }),
]);
type Control = z.infer<typeof CONTROL>;

/** The HTTP server of the fake engine and its current boot. */
export class FakeEngine implements Stepper {
  port = 0;
  readonly counters = new EngineCounters();
  private readonly cfg: EngineConfig;
  private readonly server: FakeServer;
  private readonly clock: StepClock;
  private state: EngineState;
  private faults: StreamFault[] = [];
  private restart: NodeJS.Timeout | undefined;

  /** Ranks of one group share `clock`, which keeps them in lock-step. */
  constructor(cfg: Partial<EngineConfig> = {}, clock?: StepClock) {
    this.cfg = {...ENGINE_DEFAULTS, ...cfg};
    this.clock = clock ?? new StepClock(this.cfg.stepMs);
    this.clock.join(this);
    this.state = this.boot(this.cfg.startCold);
    this.state.rank.joining = this.cfg.needsMap;
    const routes = this.routes();
    this.server = new FakeServer((req, res, body) => {
      const handler = routes[`${req.method} ${pathOf(req)}`];
      if (handler === undefined) return sendJson(res, 404, {error: 'no path'});
      return handler(req, res, body);
    });
  }

  async start(): Promise<this> {
    this.port = await this.server.listen(this.cfg.port);
    this.clock.wake();
    return this;
  }

  async close(): Promise<void> {
    clearTimeout(this.restart);
    this.clock.close();
    await this.server.close();
  }

  /** State of the current boot, for tests in the same process. */
  get current(): EngineState {
    return this.state;
  }

  busy(): boolean {
    return this.cfg.group !== undefined || this.state.batch.size > 0;
  }

  ready(): boolean {
    if (this.server.down || Date.now() < this.state.stalledUntilMs)
      return false;
    return this.cfg.group === undefined || !this.state.rank.holding;
  }

  step(): void {
    this.state.cold.advance(Date.now(), this.state.batch.size);
    if (this.cfg.group !== undefined) this.state.rank.advance();
    this.state.batch.step();
  }

  /** Injects a fault, as requested by `POST /fake/control`. */
  control(control: Control): void {
    switch (control.kind) {
      case 'turnCold':
        this.state.cold.turnCold(Date.now(), control.claimLagMs);
        return;
      case 'stall':
        this.state.stalledUntilMs = Date.now() + control.ms;
        return;
      case 'crash':
        this.crash();
        return;
      default:
        this.faults.push({...control});
    }
  }

  private boot(startCold: boolean): EngineState {
    this.counters.boots++;
    return new EngineState(this.cfg, startCold, Date.now());
  }

  /** Drops everything, then restarts cold as a new boot on the same port. */
  private crash(): void {
    this.server.down = true;
    this.state.batch.clear();
    this.server.cutAll();
    this.restart = setTimeout(() => {
      const step = this.state.rank.step;
      this.state = this.boot(true);
      this.state.rank.step = step;
      this.state.rank.joining = this.cfg.group !== undefined;
      this.server.down = false;
    }, this.cfg.restartMs);
  }

  private routes(): Routes {
    return {
      'POST /v1/chat/completions': (req, res, body) =>
        this.chat(req, res, body),
      'GET /engine/status': (req, res) => {
        const since = Number(queryOf(req).get('cacheSince') ?? 0);
        sendJson(res, 200, this.state.status(Date.now(), since));
      },
      'POST /engine/cancel': (_req, res, body) => this.cancel(res, body),
      'POST /engine/orders': this.order,
      'GET /engine/cache': (req, res) => {
        const prefix = queryOf(req).get('prefix') ?? '';
        const found = this.state.cache.has(prefix);
        sendJson(res, found ? 200 : 404, found ? {blocks: [prefix]} : {});
      },
      'PUT /engine/cache': (_req, res, body) => {
        const {blocks} = z
          .object({blocks: z.array(z.string())})
          .parse(parseJson(body));
        this.state.cache.store(blocks, Date.now());
        sendJson(res, 200, {stored: blocks.length});
      },
      'GET /fake/state': (_req, res) => sendJson(res, 200, this.report()),
      'POST /fake/control': (_req, res, body) => {
        this.control(CONTROL.parse(parseJson(body)));
        sendJson(res, 200, {});
      },
    };
  }

  private readonly order: Handler = async (_req, res, body) => {
    const order = parseJson(body);
    const answer = await executeOrder(this.state, this.cfg, order, Date.now());
    this.counters.orders.push({order, answer: answer.kind});
    sendJson(res, 200, answer);
  };

  private report(): unknown {
    return {
      ...this.counters,
      worstColdRatio: this.counters.worstColdRatio,
      bootId: this.state.bootId,
      cold: this.state.cold.cold(),
      bearable: this.state.cold.capacity(),
      concurrent: this.state.batch.size,
      step: this.state.rank.step,
      mapVersion: this.state.rank.mapVersion,
      mapHistory: this.state.rank.history,
    };
  }

  private cancel(res: http.ServerResponse, body: Buffer): void {
    const {requestId} = z
      .object({requestId: z.string()})
      .parse(parseJson(body));
    const found = this.state.batch.byRequest(requestId);
    for (const work of found) {
      this.state.batch.remove(work);
      work.onCancel();
    }
    this.counters.cancelled += found.length;
    sendJson(res, 200, {cancelled: found.length > 0});
  }

  private chat(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    body: Buffer
  ): void {
    const call = parseChat(req, parseJson(body), this.cfg.defaultTokens);
    if (call === undefined) return sendJson(res, 400, {error: 'no chat'});
    if (Date.now() < this.state.loadingUntilMs)
      return sendJson(res, 503, {error: 'loading'});
    this.countRun(call);
    recordRun(this.cfg.record, req);
    const {batch, cold} = this.state;
    cold.advance(Date.now(), batch.size);
    if (this.crashIfOverloaded(batch.size + 1)) return;
    this.admit(call, res);
  }

  private countRun(call: ChatCall): void {
    const {runsByRequest, resumedFrom} = this.counters;
    runsByRequest[call.requestId] = (runsByRequest[call.requestId] ?? 0) + 1;
    if (call.from > 0) (resumedFrom[call.requestId] ??= []).push(call.from);
  }

  private crashIfOverloaded(concurrent: number): boolean {
    const {cold} = this.state;
    const counters = this.counters;
    const over = cold.overloaded(concurrent);
    counters.maxConcurrent = Math.max(counters.maxConcurrent, concurrent);
    counters.worstColdRatio = Math.max(
      counters.worstColdRatio,
      cold.worstRatio
    );
    if (!over) return false;
    counters.overloads++;
    recordOverload(this.cfg.record);
    this.crash();
    return true;
  }

  private admit(call: ChatCall, res: http.ServerResponse): void {
    const {batch, cache, experts, model, modelVersion} = this.state;
    const writer = new ChatWriter(
      res,
      call,
      model,
      modelVersion,
      this.cfg.statedStreamBytes
    );
    const cached = cache.cachedBlocks(call.prefixes);
    cache.store(call.prefixes, Date.now());
    const work: Work = {
      requestId: call.requestId,
      priority: call.priority,
      prefillTokensLeft: prefillTokens(call, cached),
      nextToken: call.stream ? call.from : 0,
      end: call.end,
      onToken: index => {
        this.counters.tokens++;
        experts.route(writer.text(index));
        if (this.applyStreamFault(index, writer, work, res)) return;
        writer.token(index);
      },
      onEnd: () => {
        this.counters.finished++;
        writer.end();
      },
      onCancel: () => res.destroy(),
    };
    batch.add(work);
    this.clock.wake();
    res.on('close', () => this.disconnected(work, batch, res));
  }

  /** Applies a pending stream fault at this token; true if the token must not be sent. */
  private applyStreamFault(
    index: number,
    writer: ChatWriter,
    work: Work,
    res: http.ServerResponse
  ): boolean {
    const fault = this.faults.find(f => f.token === index && f.times > 0);
    if (fault === undefined) return false;
    fault.times--;
    switch (fault.kind) {
      case 'repeatToken':
        writer.token(index);
        return false;
      case 'cutAtToken':
        this.state.batch.remove(work);
        res.destroy();
        return true;
      case 'endAtToken':
        this.state.batch.remove(work);
        res.end();
        return true;
      case 'stallAtToken':
        this.state.batch.remove(work);
        return true;
    }
  }

  private disconnected(
    work: Work,
    batch: Batch,
    res: http.ServerResponse
  ): void {
    if (res.writableFinished || !batch.has(work)) return;
    this.counters.disconnected++;
    if (this.cfg.cancelOnDisconnect) batch.remove(work);
  }
}
