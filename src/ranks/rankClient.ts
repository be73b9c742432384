/** Calls to one rank; each on a connection of its own. */

import http from 'node:http';
import type {RankCall} from '../ports/rankPort';

/**
 * Answers come within 5 ms, twenty on a busy node. An order without one may be
 * carried out later; it is sent again, and the sooner the shorter the group
 * stands still for it.
 */
const CALL_TIMEOUT_MS = 60;
/** What a narrow link carries in a millisecond. */
const BYTES_PER_MS = 500;

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
    const limitMs = CALL_TIMEOUT_MS + body.length / BYTES_PER_MS;
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
