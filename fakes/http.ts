/** Helpers over Node's `http` module, shared by the fakes. */

import http from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

/** Handles one request, whose body has already been read. */
export type Handler = (
  req: http.IncomingMessage,
  res: http.ServerResponse,
  body: Buffer
) => void | Promise<void>;

/** Handlers by `METHOD /path`. */
export type Routes = Readonly<Record<string, Handler>>;

/** Path of a request without the query string. */
export function pathOf(req: http.IncomingMessage): string {
  return (req.url ?? '/').split('?')[0] ?? '/';
}

/** Query parameters of a request. */
export function queryOf(req: http.IncomingMessage): URLSearchParams {
  return new URL(req.url ?? '/', 'http://fake').searchParams;
}

/** First value of a header, or undefined if it is absent. */
export function headerOf(
  req: http.IncomingMessage,
  name: string
): string | undefined {
  const value = req.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** Reads a whole body. */
export async function readBody(req: http.IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of req as AsyncIterable<Buffer>) chunks.push(chunk);
  return Buffer.concat(chunks);
}

/** Sends a JSON response. */
export function sendJson(
  res: http.ServerResponse,
  status: number,
  body: unknown,
  headers: http.OutgoingHttpHeaders = {}
): void {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...headers,
  });
  res.end(text);
}

/** A server on 127.0.0.1 whose connections can all be cut at once. */
export class FakeServer {
  private readonly sockets = new Set<Socket>();
  private readonly server: http.Server;
  /** While set, every new connection is closed unread. */
  down = false;

  constructor(handle: Handler) {
    this.server = http.createServer((req, res) => {
      // The client may disconnect at any time; errors of later writes are ignored.
      res.on('error', () => undefined);
      readBody(req)
        .then(body => handle(req, res, body))
        .catch(() => res.destroy());
    });
    this.server.on('connection', socket => this.track(socket));
  }

  /** Resolves with the port; with port 0 the kernel chooses one. */
  listen(port = 0): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, '127.0.0.1', () =>
        resolve((this.server.address() as AddressInfo).port)
      );
    });
  }

  /** Closes every connection, as a crash of the process would. */
  cutAll(): void {
    for (const socket of this.sockets) socket.destroy();
  }

  close(): Promise<void> {
    this.cutAll();
    return new Promise(resolve => this.server.close(() => resolve()));
  }

  private track(socket: Socket): void {
    if (this.down) {
      socket.destroy();
      return;
    }
    this.sockets.add(socket);
    socket.once('close', () => this.sockets.delete(socket));
  }
}

/** Parses a body as JSON; undefined if it is not valid JSON. */
export function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}
