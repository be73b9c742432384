/**
 * A fake plain service that records every request it runs. Plug assignments
 * and badge awards may run at most once; tests count their runs here.
 */

import {createHash, randomUUID} from 'node:crypto';
import type http from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import * as z from 'zod';
import {recordRun} from './runRecord';
import {
  FakeServer,
  headerOf,
  parseJson,
  pathOf,
  queryOf,
  sendJson,
} from './http';

const FAULT = z.object({
  kind: z.enum([
    'answerLate',
    'closeAfterRun',
    'closeBeforeRead',
    'truncate',
    'refuse',
    'answerUnmarked',
    'resetUnmarked',
    'endInsideEvent',
  ]),
  /** Number of requests that the fault still applies to. */
  times: z.number().int().positive().default(1),
  /** Extra delay of `answerLate`. */
  ms: z.number().nonnegative().default(1000),
  /** Prefix of the paths that the fault applies to. */
  path: z.string().default('/'),
});
type Fault = z.infer<typeof FAULT>;

/** Body of responses that end with their connection. */
const UNMARKED_BODY = 'recorded';

/** Settings of the service; times in milliseconds. */
export interface LedgerConfig {
  readonly port: number;
  /** Time to run one request. */
  readonly latencyMs: number;
  /** File that gets a JSON line for each run; no file if absent. */
  readonly record?: string;
}

/** One run of one request. */
export interface LedgerRun {
  readonly path: string;
  readonly method: string;
  readonly key?: string;
  readonly requestId?: string;
  readonly digest: string;
}

/** The HTTP server of the fake service. */
export class FakeLedger {
  port = 0;
  readonly runs: LedgerRun[] = [];
  private readonly bootId = randomUUID();
  private readonly faults: Fault[] = [];
  private running = 0;
  private maxRunning = 0;
  private readonly cfg: LedgerConfig;
  private readonly server: FakeServer;

  constructor(cfg: Partial<LedgerConfig> = {}) {
    this.cfg = {port: 0, latencyMs: 0, ...cfg};
    this.server = new FakeServer((req, res, body) =>
      this.handle(req, res, body)
    );
  }

  async start(): Promise<this> {
    this.port = await this.server.listen(this.cfg.port);
    return this;
  }

  close(): Promise<void> {
    return this.server.close();
  }

  /** Injects a fault into the next matching requests. */
  injectFault(fault: z.input<typeof FAULT>): void {
    this.faults.push(FAULT.parse(fault));
  }

  /** Number of runs by idempotency key; runs without a key count as `none`. */
  runsByKey(): Readonly<Record<string, number>> {
    const counts: Record<string, number> = {};
    for (const run of this.runs)
      counts[run.key ?? 'none'] = (counts[run.key ?? 'none'] ?? 0) + 1;
    return counts;
  }

  private async handle(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    body: Buffer
  ): Promise<void> {
    switch (pathOf(req)) {
      case '/fake/fault':
        this.injectFault(FAULT.parse(parseJson(body)));
        return sendJson(res, 200, {});
      case '/fake/state':
        return sendJson(res, 200, this.report());
      case '/health':
        return sendJson(res, 200, this.health());
      default:
        return this.serve(req, res, body);
    }
  }

  private async serve(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    body: Buffer
  ): Promise<void> {
    const fault = this.takeFault(pathOf(req));
    if (fault?.kind === 'closeBeforeRead') return void res.destroy();
    if (fault?.kind === 'refuse') return sendJson(res, 503, {error: 'refused'});
    this.record(req, body);
    this.running++;
    this.maxRunning = Math.max(this.maxRunning, this.running);
    const lateMs = fault?.kind === 'answerLate' ? fault.ms : 0;
    await delay(this.cfg.latencyMs + lateMs);
    this.running--;
    if (fault?.kind === 'closeAfterRun') return void res.destroy();
    if (fault?.kind === 'truncate') return truncate(res);
    if (fault?.kind === 'answerUnmarked') return sendUnmarked(res, 'fin');
    if (fault?.kind === 'resetUnmarked') return sendUnmarked(res, 'reset');
    if (fault?.kind === 'endInsideEvent') return endInsideEvent(res);
    this.answer(req, res, body);
  }

  private takeFault(path: string): Fault | undefined {
    const fault = this.faults.find(f => f.times > 0 && path.startsWith(f.path));
    if (fault !== undefined) fault.times--;
    return fault;
  }

  private record(req: http.IncomingMessage, body: Buffer): void {
    recordRun(this.cfg.record, req);
    this.runs.push({
      path: pathOf(req),
      method: req.method ?? 'GET',
      key: headerOf(req, 'idempotency-key'),
      requestId: headerOf(req, 'x-request-id'),
      digest: digestOf(body),
    });
  }

  private answer(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    body: Buffer
  ): void {
    const path = pathOf(req);
    switch (`${req.method} ${path}`) {
      case 'POST /assign':
      case 'POST /award':
        return sendJson(res, 201, {
          run: this.runs.length,
          key: headerOf(req, 'idempotency-key'),
          accepted: parseJson(body),
        });
      case 'GET /status':
        return sendJson(res, 200, {runs: this.runs.length});
      default:
        return echo(req, res, body);
    }
  }

  private health(): unknown {
    const nowMs = Date.now();
    const load = {running: this.running, waiting: 0, reportedAtMs: nowMs};
    return {bootId: this.bootId, state: 'ready', nowMs, load};
  }

  private report(): unknown {
    return {
      runs: this.runs.length,
      runsByKey: this.runsByKey(),
      maxRunning: this.maxRunning,
      log: this.runs,
    };
  }
}

function digestOf(body: Buffer): string {
  return createHash('sha256').update(body).digest('hex');
}

/** Announces a longer body than it sends, then closes the connection. */
function truncate(res: http.ServerResponse): void {
  res.writeHead(200, {'content-length': 100});
  res.write('{"cut":', () => res.destroy());
}

/** Sends a body that ends with its connection, which may be reset. */
function sendUnmarked(res: http.ServerResponse, end: 'fin' | 'reset'): void {
  res.useChunkedEncodingByDefault = false;
  res.shouldKeepAlive = false;
  res.writeHead(201, {'content-type': 'text/plain'});
  if (end === 'fin') res.end(UNMARKED_BODY);
  else res.write(UNMARKED_BODY, () => res.socket?.resetAndDestroy());
}

/** Ends a stream of events, by its last chunk, inside its second event. */
function endInsideEvent(res: http.ServerResponse): void {
  res.writeHead(200, {'content-type': 'text/event-stream'});
  res.end('data: 1\n\ndata: 2');
}

/**
 * Echoes the request; `?bytes=N` returns a body of that size instead, and
 * `?chunks=N` a chunked body with a trailer.
 */
function echo(
  req: http.IncomingMessage,
  res: http.ServerResponse,
  body: Buffer
): void {
  const query = queryOf(req);
  const bytes = Number(query.get('bytes') ?? 0);
  const chunks = Number(query.get('chunks') ?? 0);
  if (bytes > 0) {
    res.writeHead(200, {'content-length': bytes});
    res.end(Buffer.alloc(bytes, 'x'));
    return;
  }
  if (chunks > 0) return sendChunks(res, chunks);
  sendJson(res, 200, {
    method: req.method,
    path: req.url,
    headers: req.headers,
    bytes: body.length,
    digest: digestOf(body),
  });
}

function sendChunks(res: http.ServerResponse, chunks: number): void {
  res.writeHead(200, {trailer: 'x-chunks'});
  for (let i = 0; i < chunks; i++) res.write(`chunk ${i}\n`);
  res.addTrailers({'x-chunks': String(chunks)});
  res.end();
}
