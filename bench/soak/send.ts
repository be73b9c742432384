/** Sends one request of a caller, an operator or a target on its own connection. */

import http from 'node:http';

/** The request to send. */
export interface SoakCall {
  readonly ip: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

/** A complete response. */
export interface SoakAnswer {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

const TIMEOUT_MS = 3_000;

/** Resolves with the response, or undefined if no complete one arrived in time. */
export function send(call: SoakCall): Promise<SoakAnswer | undefined> {
  return new Promise(resolve => {
    const {ip: host, port, method, path, headers, body = ''} = call;
    const options = {host, port, method, path, headers: {...headers}};
    const req = http.request({...options, agent: false}, res => {
      let text = '';
      res.setEncoding('utf8');
      res.on('data', chunk => (text += String(chunk)));
      res.on('error', () => resolve(undefined));
      res.on('close', () => {
        const {statusCode: status = 0} = res;
        const answer = {status, headers: res.headers, body: text};
        resolve(res.complete ? answer : undefined);
      });
    });
    req.setTimeout(TIMEOUT_MS, () => req.destroy());
    req.on('error', () => resolve(undefined));
    req.end(body);
  });
}
