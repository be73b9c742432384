/**
 * A whole deployment as one document describes it: routes by host and path,
 * services and their engines, customers and their keys. Decoded once from the
 * text; everything inside the product reads these types.
 */

import type {PassProfile} from '../core/passProfile';

/** What may be done again when the outcome of a call is not known. */
export type Repeat =
  /** May run more than once. */
  | 'idempotent'
  /** May run once at most. */
  | 'once'
  /** A series of events; resumable ones may go on elsewhere after the last. */
  | 'stream';

/** A service that takes part of a route's requests. */
export interface WeightedService {
  readonly service: string;
  /** Share relative to the others, above 0. */
  readonly weight: number;
}

/** One route. */
export interface SiteRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly repeat: Repeat;
  /** Whether a stream may be continued by another target. */
  readonly resumable: boolean;
  /** Longest time a caller is kept waiting, milliseconds. */
  readonly timeoutMs: number;
  /** Time to the answer, or to a stream's first event, that counts as good. */
  readonly latencyTargetMs: number;
  /** Longest pause between events that counts as good; 0 when not given. */
  readonly gapTargetMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Never empty; the weights add up to more than 0. */
  readonly split: readonly WeightedService[];
  /** Most targets to which one request may be sent. */
  readonly maxAttempts: number;
  /** Whether no key is asked for. */
  readonly isPublic: boolean;
}

/** Cost model and limits of a model engine, per rank. */
export interface EngineProfile extends PassProfile {
  /** Requests that one rank works on at once. */
  readonly slots: number;
  /** Sets of layers, each with experts of its own; 0 without experts. */
  readonly expertSets: number;
  /** Experts of each set. */
  readonly experts: number;
  /** Experts of a set that one rank can hold. */
  readonly placesPerRank: number;
  /** Experts of a set that one rank can load beside those in use. */
  readonly sparePlaces: number;
  /** Time in which a rank copies one expert, milliseconds. */
  readonly expertCopyMs: number;
  /** Time for which reading a rank's counts holds up its group, milliseconds. */
  readonly countsHoldMs: number;
  /** Time to form a group anew, milliseconds. */
  readonly formMs: number;
}

/** A pool of like targets. */
export interface SiteService {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one target takes from all callers together. */
  readonly maxConnections: number;
  /** Requests a second that a cold target bears; 0 when it is never cold. */
  readonly coldRequestsPerSecond: number;
  /** Absent for plain services. */
  readonly engine?: EngineProfile;
}

/** What a caller may send, and how long it may take or stay idle. */
export interface RequestLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** Who pays for requests, known by its keys. */
export interface SiteCustomer {
  readonly name: string;
  readonly keys: readonly string[];
  /** Goes before the route's priority; absent when the route's holds. */
  readonly priority?: number;
}

/** One version of the whole. */
export interface Site {
  readonly version: number;
  readonly routes: readonly SiteRoute[];
  readonly services: ReadonlyMap<string, SiteService>;
  readonly limits: RequestLimits;
  /** Empty when no keys are asked for. */
  readonly customers: readonly SiteCustomer[];
}

/** A decoded document, or the first fault found in it. */
export type DecodedSite =
  | {readonly ok: true; readonly site: Site}
  | {readonly ok: false; readonly problem: string};
