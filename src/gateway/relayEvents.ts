/** Relays the events of one target's response stream to the caller. */

import type {IncomingMessage} from 'node:http';
import type {CancelSignal} from '../core/cancellation';
import {SseParser} from '../core/sseParser';
import type {CallerStream} from './callerStream';
import type {RelayableHead} from './relayableHead';

/** An event holds a few tokens; one without end is cut off. */
const MAX_EVENT_CHARS = 1 << 20;
/** Comments between two events, which keep a connection alive. */
const MAX_COMMENT_CHARS = 64 << 10;

/** How the response stream of one target ended. */
export type RelayEnd =
  | {readonly kind: 'complete'}
  /** It ended with its connection, and after a whole event if it had any. */
  | {readonly kind: 'unmarked'}
  /** It ended early; only whole events were relayed. */
  | {readonly kind: 'broken'; readonly reason: string};

/** Callbacks for relayed events. */
export interface RelayObserver {
  onFirstEvent(): void;
  onEvent(nowMs: number): void;
  onGap(ms: number): void;
  /** The target is not read from while the caller takes nothing. */
  onCallerWait(): void;
  onCallerReady(nowMs: number): void;
}

/** Relays until the target's stream ends or breaks, or the signal is aborted. */
export async function relayEvents(
  res: IncomingMessage,
  head: RelayableHead,
  caller: CallerStream,
  signal: CancelSignal,
  observer: RelayObserver
): Promise<RelayEnd> {
  const parser = new SseParser('latin1');
  let lastEventAtMs: number | undefined;
  let commentChars = 0;
  try {
    for await (const chunk of res as AsyncIterable<Buffer>) {
      for (const event of parser.push(chunk)) {
        const isComment = event.id === undefined && event.data === '';
        commentChars = isComment ? commentChars + event.raw.length : 0;
        const problem = sequenceProblem(caller.lastEventId, event.id);
        if (problem !== undefined) return broken(res, problem);
        const nowMs = performance.now();
        observer.onEvent(nowMs);
        if (lastEventAtMs === undefined) observer.onFirstEvent();
        else observer.onGap(nowMs - lastEventAtMs);
        lastEventAtMs = nowMs;
        if (caller.write(head, event.raw, event.id)) continue;
        observer.onCallerWait();
        await caller.drained(signal);
        lastEventAtMs = performance.now();
        observer.onCallerReady(lastEventAtMs);
      }
      if (parser.pendingChars > MAX_EVENT_CHARS)
        return broken(res, 'event over the bound');
      if (commentChars > MAX_COMMENT_CHARS)
        return broken(res, 'comments over the bound');
    }
  } catch (err) {
    return broken(res, err instanceof Error ? err.message : String(err));
  }
  if (!res.complete)
    return broken(res, 'connection closed before the end of the stream');
  // The HTTP body is complete, but the target stopped in the middle of an event.
  if (parser.isInsideEvent)
    return broken(res, 'stream ended in the middle of an event');
  return {kind: head.isEndMarked ? 'complete' : 'unmarked'};
}

function broken(res: IncomingMessage, reason: string): RelayEnd {
  res.destroy();
  return {kind: 'broken', reason};
}

/**
 * Event ids increase by one. A target that resumes from another id would make
 * the caller's stream skip or repeat events.
 */
function sequenceProblem(
  last: string | undefined,
  next: string | undefined
): string | undefined {
  if (last === undefined || next === undefined) return undefined;
  return Number(next) === Number(last) + 1
    ? undefined
    : `event ${next} came after ${last}`;
}
