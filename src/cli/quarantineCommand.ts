/** `quarantine`: shows, adds and lifts parts of prompts and requests that crash targets. */

import http from 'node:http';
import {setTimeout} from 'node:timers/promises';
import {
  QUARANTINE_PATH,
  crashedRequestPath,
  quarantinePath,
} from '../../platform/controlCalls';
import type {QuarantineList} from '../cluster/quarantineMessages';
import {QUARANTINE_LIST} from '../cluster/quarantineMessages';
import {readText} from '../core/readBody';
import {receiveResponse} from '../core/receiveResponse';
import {EXIT_CODES} from './exitCodes';
import {UsageError, runReportingErrors} from './runCommand';
import {formatTable} from './table';

const HELP = `
  Usage
    $ marlpulley quarantine HOST:PORT
    $ marlpulley quarantine HOST:PORT add SERVICE PART
    $ marlpulley quarantine HOST:PORT lift SERVICE PART
    $ marlpulley quarantine HOST:PORT lift-request REQUEST

  HOST:PORT is the control address of any node. Without a change it shows the parts
  of prompts whose requests no node sends to targets, and the parts that may have
  caused crashes. A part that is added stays until it is lifted. Lifting a part also
  drops the evidence against it.

  It also shows single requests, by the digest that logs name (requestDigest), that
  were not served since targets crashed under them. From the second crash no node
  sends such a request to targets for a while, unless it is lifted.

  Exit codes
    0  shown or changed
    1  the node did not answer, or knows no leader
    2  wrong arguments, or no such service or request
`;
const TIMEOUT_MS = 5_000;
/** A node that has not caught up with an earlier change refuses the next one. */
const MAX_ATTEMPTS = 4;
const RETRY_DELAY_MS = 500;
const MAX_BODY_BYTES = 1 << 20;
const OK = 200;
const NOT_FOUND = 404;
const UNAVAILABLE = 503;
const MS_PER_S = 1_000;

interface Reply {
  readonly status: number;
  readonly body: string;
}

/** Runs `quarantine`. */
export function runQuarantine(argv: readonly string[]): Promise<number> {
  return runReportingErrors(async () => {
    if (argv.includes('--help')) {
      process.stdout.write(HELP);
      return EXIT_CODES.ok;
    }
    const [node = '', change, service, part, ...rest] = argv;
    if (!/^[^:]+:\d+$/.test(node) || rest.length > 0)
      throw new UsageError('HOST:PORT of a node is needed; see --help');
    if (change === undefined) return show(node);
    if (change === 'lift-request') return liftRequest(node, [service, part]);
    const isChange = change === 'add' || change === 'lift';
    if (!isChange || service === undefined || part === undefined)
      throw new UsageError('expected add or lift, SERVICE and PART');
    const method = change === 'add' ? 'PUT' : 'DELETE';
    return report(await order(node, method, quarantinePath(service, part)));
  });
}

async function liftRequest(
  node: string,
  [digest, extra]: readonly (string | undefined)[]
): Promise<number> {
  if (digest === undefined || extra !== undefined)
    throw new UsageError('expected lift-request REQUEST');
  return report(await order(node, 'DELETE', crashedRequestPath(digest)));
}

/** Sends a change, again while the node can't carry it out. */
async function order(
  node: string,
  method: string,
  path: string
): Promise<Reply> {
  for (let attempt = 1; ; attempt++) {
    const reply = await call(node, method, path);
    if (reply.status !== UNAVAILABLE || attempt === MAX_ATTEMPTS) return reply;
    await setTimeout(RETRY_DELAY_MS);
  }
}

function report({status, body}: Reply): number {
  if (status === NOT_FOUND) throw new UsageError(body.trim());
  if (status !== OK) throw new Error(body.trim());
  return EXIT_CODES.ok;
}

async function show(node: string): Promise<number> {
  const {status, body} = await call(node, 'GET', QUARANTINE_PATH);
  if (status !== OK) throw new Error(body.trim());
  const list = QUARANTINE_LIST.parse(JSON.parse(body));
  for (const line of formatQuarantine(list)) process.stdout.write(`${line}\n`);
  return EXIT_CODES.ok;
}

/** Formats the list as tables. */
export function formatQuarantine({
  parts,
  suspects,
  requests,
}: QuarantineList): readonly string[] {
  return [
    ...formatTable(
      ['service', 'part in quarantine', 'cause', 'crashes', 'for s'],
      parts.map(({service, part, cause, crashes, ageMs}) => [
        service,
        part,
        cause,
        String(crashes),
        String(Math.round(ageMs / MS_PER_S)),
      ])
    ),
    '',
    ...formatTable(
      ['service', 'suspect part', 'crashes'],
      suspects.map(({service, part, crashes}) => [
        service,
        part,
        String(crashes),
      ])
    ),
    '',
    ...formatTable(
      ['service', 'request', 'crashes', 'last s ago'],
      requests.map(({service, digest, crashes}) => [
        service,
        digest,
        String(crashes.length),
        String(
          Math.round(Math.min(...crashes.map(({ageMs}) => ageMs)) / MS_PER_S)
        ),
      ])
    ),
  ];
}

function call(node: string, method: string, path: string): Promise<Reply> {
  const [host, port] = node.split(':');
  return new Promise((resolve, reject) => {
    const options = {host, port, method, path, agent: false as const};
    const req = http.request({...options, timeout: TIMEOUT_MS});
    receiveResponse(req, {
      onResponse: res => {
        const status = res.statusCode ?? 0;
        readText(res, {maxBytes: MAX_BODY_BYTES}).then(
          body => resolve({status, body}),
          reject
        );
      },
      onMalformed: reason => reject(new Error(`${node}: ${reason}`)),
    });
    req.once('timeout', () => req.destroy(new Error(`${node}: no answer`)));
    req.once('error', reject);
    req.end();
  });
}
