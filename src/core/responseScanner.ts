/**
 * Scans the bytes of one response, interim responses included, for what is no HTTP/1.x.
 * Which malformed heads Node's parser accepts, and what it makes of them, depends on the
 * version of the runtime.
 */

import {framingOf} from './bodyFraming';
import {ChunkedBodyScanner} from './chunkedBodyScanner';
import {unreachable} from './errors';
import type {FramingHeaders} from './fieldSectionScanner';
import {FieldSectionScanner} from './fieldSectionScanner';
import {MalformedResponseError} from './malformedResponse';
import {StatusLineScanner} from './statusLineScanner';

const SWITCHING_PROTOCOLS = 101;
const FIRST_FINAL_STATUS = 200;

type Stage =
  | {readonly kind: 'statusLine'; readonly line: StatusLineScanner}
  | {
      readonly kind: 'fields';
      readonly status: number;
      readonly fields: FieldSectionScanner;
    }
  | {readonly kind: 'chunkedBody'; readonly body: ChunkedBodyScanner}
  /** What is left of the body may hold any bytes; what follows belongs to no response. */
  | {readonly kind: 'unchecked'};

/** Scans the response to a request with the given method. */
export class ResponseScanner {
  private stage: Stage = statusLine();

  constructor(private readonly method: string) {}

  /** Takes the bytes as they arrive; throws MalformedResponseError. */
  push(bytes: Buffer): void {
    let at = 0;
    while (at < bytes.length) {
      const {stage} = this;
      switch (stage.kind) {
        case 'statusLine':
          if (stage.line.push(bytes[at++]!))
            this.stage = fieldsOf(stage.line.status);
          break;
        case 'fields':
          if (stage.fields.push(bytes[at++]!))
            this.stage = this.afterHead(stage.status, stage.fields);
          break;
        case 'chunkedBody':
          at = stage.body.push(bytes, at);
          if (stage.body.isWhole) this.stage = {kind: 'unchecked'};
          break;
        case 'unchecked':
          return;
        default:
          return unreachable(stage);
      }
    }
  }

  private afterHead(status: number, {framingHeaders}: FieldSectionScanner) {
    if (status === SWITCHING_PROTOCOLS)
      throw new MalformedResponseError('switch of protocols not asked for');
    if (status < FIRST_FINAL_STATUS) return statusLine();
    checkLength(framingHeaders);
    return this.bodyStage(status, framingHeaders);
  }

  private bodyStage(statusCode: number, headers: FramingHeaders): Stage {
    const {method} = this;
    const framing = framingOf({headers, statusCode, req: {method}});
    switch (framing) {
      case 'chunked':
        return {kind: 'chunkedBody', body: new ChunkedBodyScanner()};
      case 'none':
      case 'length':
      case 'close':
        return {kind: 'unchecked'};
      case 'unsupported':
        throw new MalformedResponseError('unknown transfer coding');
      default:
        return unreachable(framing);
    }
  }
}

function statusLine(): Stage {
  return {kind: 'statusLine', line: new StatusLineScanner()};
}

function fieldsOf(status: number): Stage {
  return {kind: 'fields', status, fields: new FieldSectionScanner()};
}

function checkLength(headers: FramingHeaders): void {
  const length = headers['content-length'];
  if (length === undefined) return;
  if (!/^\d+$/.test(length))
    throw new MalformedResponseError('invalid Content-Length');
  if (headers['transfer-encoding'] !== undefined)
    throw new MalformedResponseError('both a length and a transfer coding');
}
