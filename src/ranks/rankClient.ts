/** HTTP client for ranks. Each call uses a connection of its own. */

import type {IncomingMessage} from 'node:http';
import http from 'node:http';
import type {RankCall} from '../ports/rankPort';

/** HTTP response of a rank. */
export interface RankAnswer {
  readonly status: number;
  readonly text: string;
  /** Duration of the call in milliseconds. */
  readonly tookMs: number;
}

/** Gets the headers of each response, before its body. */
export type OnRankResponse = (
  address: string,
  response: {readonly res: IncomingMessage; readonly sentAtMs: number}
) => void;

/** Resolves with undefined on an error, or without a response in time. */
export function callRank(
  address: string,
  call: RankCall,
  timeoutMs: number,
  onResponse: OnRankResponse
): Promise<RankAnswer | undefined> {
  return new Promise(resolve => {
    const [host, port] = address.split(':');
    const {method, path, body = ''} = call;
    const headers = {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    };
    const sentAtMs = performance.now();
    const options = {host, port: Number(port), method, path, headers};
    const req = http.request({...options, agent: false}, res => {
      onResponse(address, {res, sentAtMs});
      const chunks: Buffer[] = [];
      res.on('data', (chunk: Buffer) => chunks.push(chunk));
      res.on('error', () => finish(undefined));
      res.on('end', () => {
        const text = Buffer.concat(chunks).toString('utf8');
        const {statusCode: status = 0, complete} = res;
        const tookMs = performance.now() - sentAtMs;
        finish(complete ? {status, text, tookMs} : undefined);
      });
    });
    const timer = setTimeout(() => finish(undefined), timeoutMs);
    const finish = (answer: RankAnswer | undefined) => {
      clearTimeout(timer);
      req.destroy();
      resolve(answer);
    };
    req.on('error', () => finish(undefined));
    req.end(body);
  });
}

const OK = 200;

/** Whether a response arrived and has status 200. */
export function isOk(answer: RankAnswer | undefined): answer is RankAnswer {
  return answer?.status === OK;
}
