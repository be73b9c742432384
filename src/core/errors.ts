/** Errors of calls between processes, of settings and of durable state. */

/** Why a call to a peer failed. */
export type PeerFault =
  /**
   * No connection was established, so the peer cannot have received the call.
   */
  | {readonly kind: 'unreachable'; readonly refusedByHost: boolean}
  /** The call was sent; whether it took effect is not known. */
  | {readonly kind: 'lost'}
  | {readonly kind: 'timeout'}
  /** The peer replied with an error. */
  | {readonly kind: 'rejected'; readonly code: number; readonly data?: unknown}
  | {readonly kind: 'version'; readonly theirs: string};

/** A failed call to a peer process. */
export class PeerError extends Error {
  constructor(
    readonly fault: PeerFault,
    readonly step: string,
    readonly peer: string,
    readonly detail: string
  ) {
    super(`${step}: ${peer}: ${fault.kind}: ${detail}`);
    this.name = 'PeerError';
  }
}

/**
 * A settings or rules file that cannot be used; the message has one line per
 * problem.
 */
export class ConfigError extends Error {
  constructor(readonly problems: readonly string[]) {
    super(problems.join('\n'));
    this.name = 'ConfigError';
  }
}

/** Durable state that cannot be trusted or accessed; the process stops. */
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

/** Makes the compiler check that a switch is exhaustive. */
export function unreachable(value: never): never {
  throw new Error(`unexpected variant: ${JSON.stringify(value)}`);
}
