/** Errors between our own processes; each carries the step and the peer. */

/** What went wrong in a call to a peer. */
export type PeerFault =
  /** No connection was made, so the peer cannot have seen the call. */
  | {readonly kind: 'unreachable'; readonly refusedByHost: boolean}
  /** The call was sent; whether it took effect is not known. */
  | {readonly kind: 'lost'}
  | {readonly kind: 'timeout'}
  /** The peer answered with an error of its own. */
  | {readonly kind: 'rejected'; readonly code: number; readonly data?: unknown}
  | {readonly kind: 'version'; readonly theirs: string};

/** A failed call to a peer process. */
export class PeerError extends Error {
  constructor(
    readonly fault: PeerFault,
    readonly step: string,
    readonly peer: string,
    detail: string
  ) {
    super(`${step}: ${peer}: ${fault.kind}: ${detail}`);
    this.name = 'PeerError';
  }
}

/** A setting or rule file that cannot be used; one line a problem. */
export class ConfigError extends Error {
  constructor(readonly problems: readonly string[]) {
    super(problems.join('\n'));
    this.name = 'ConfigError';
  }
}

/** Durable state that cannot be trusted; the process stops. */
export class StorageError extends Error {
  constructor(
    readonly step: string,
    readonly file: string,
    detail: string
  ) {
    super(`${step}: ${file}: ${detail}`);
    this.name = 'StorageError';
  }
}

/** Narrowing helper for exhaustive switches. */
export function unreachable(value: never): never {
  throw new Error(`unexpected variant: ${JSON.stringify(value)}`);
}
