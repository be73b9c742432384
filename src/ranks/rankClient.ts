/** HTTP client for ranks. Each call uses a connection of its own. */

import type {IncomingMessage} from 'node:http';
import http from 'node:http';
import {parseHostPort} from '../core/hostPort';
import {readText} from '../core/readBody';
import {receiveResponse} from '../core/receiveResponse';
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

/** The lists and counts of a rank with thousands of experts. */
const MAX_RESPONSE_BYTES = 4 << 20;

/** Resolves with undefined on an error, or without a sound response in time. */
export function callRank(
  address: string,
  call: RankCall,
  timeoutMs: number,
  onResponse: OnRankResponse
): Promise<RankAnswer | undefined> {
  const hostPort = parseHostPort(address);
  if (hostPort === undefined) return Promise.resolve(undefined);
  return new Promise(resolve => {
    const {method, path, body = ''} = call;
    const headers = {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    };
    const sentAtMs = performance.now();
    const options = {...hostPort, method, path, headers};
    const req = http.request({...options, agent: false});
    receiveResponse(req, {
      onResponse: res => {
        onResponse(address, {res, sentAtMs});
        readText(res, {maxBytes: MAX_RESPONSE_BYTES}).then(
          text => {
            const {statusCode: status = 0} = res;
            finish({status, text, tookMs: performance.now() - sentAtMs});
          },
          () => finish(undefined)
        );
      },
      onMalformed: () => finish(undefined),
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
