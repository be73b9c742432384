/** Calls to one rank; each on a connection of its own. */

import http from 'node:http';
import type {RankCall} from '../ports/rankPort';

/** Answers come within 5 ms; an order without one may be carried out later. */
const CALL_TIMEOUT_MS = 250;
const LONG_CALL_TIMEOUT_MS = 1_000;

/** Answer of a rank. */
export interface RankAnswer {
  readonly status: number;
  readonly text: string;
}

/** Resolves with undefined when no answer came. */
export function callRank(
  address: string,
  call: RankCall
): Promise<RankAnswer | undefined> {
  return new Promise(resolve => {
    const [host, port] = address.split(':');
    const {method, path, body = ''} = call;
    const headers = {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    };
    const options = {host, port: Number(port), method, path, headers};
    const req = http.request({...options, agent: false}, res => {
      const chunks: Buffer[] = [];
      res.on('data', (chunk: Buffer) => chunks.push(chunk));
      res.on('error', () => finish(undefined));
      res.on('end', () => {
        const text = Buffer.concat(chunks).toString('utf8');
        finish(res.complete ? {status: res.statusCode ?? 0, text} : undefined);
      });
    });
    // A map of many ranks is large for a narrow link.
    const limitMs =
      body.length > LARGE_BODY ? LONG_CALL_TIMEOUT_MS : CALL_TIMEOUT_MS;
    const timer = setTimeout(() => finish(undefined), limitMs);
    const finish = (answer: RankAnswer | undefined) => {
      clearTimeout(timer);
      req.destroy();
      resolve(answer);
    };
    req.on('error', () => finish(undefined));
    req.end(body);
  });
}

const LARGE_BODY = 4_096;
