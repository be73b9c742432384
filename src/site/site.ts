/**
 * The site document, which describes a whole deployment: routes by host and
 * path, services and their engines, customers and their keys. It is decoded once
 * from its text; all other code uses these types.
 */

import type {PassProfile} from '../core/passProfile';

/** Whether a request may be retried when the outcome of an attempt is unknown. */
export type RetrySemantics =
  /** May run more than once. */
  | 'idempotent'
  /** May run at most once. */
  | 'once'
  /** A stream of events; if resumable, another target may continue it. */
  | 'stream';

/** A service that receives a share of a route's requests. */
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
  readonly repeat: RetrySemantics;
  /** Whether a stream may be continued by another target. */
  readonly resumable: boolean;
  /** Longest time that a caller waits, milliseconds. */
  readonly timeoutMs: number;
  /** Goal for the time to the response or first event, milliseconds. */
  readonly latencyTargetMs: number;
  /** Goal for the longest pause between events, milliseconds; 0 when not given. */
  readonly gapTargetMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Never empty; the weights add up to more than 0. */
  readonly split: readonly WeightedService[];
  /** Most targets to which one request may be sent. */
  readonly maxAttempts: number;
  /** Whether callers need no key. */
  readonly isPublic: boolean;
}

/** Cost model and limits of a model engine, per rank. */
export interface EngineProfile extends PassProfile {
  /** Requests that one rank works on at once. */
  readonly slots: number;
  /** Sets of layers that have their own experts each; 0 without experts. */
  readonly expertSets: number;
  /** Experts of each set. */
  readonly experts: number;
  /** Expert slots of one rank for each set. */
  readonly placesPerRank: number;
  /** Experts of a set that one rank can load in addition to those in use. */
  readonly sparePlaces: number;
  /** Time that a rank takes to copy one expert, milliseconds. */
  readonly expertCopyMs: number;
  /** Delay of the group when the counters of a rank are read, milliseconds. */
  readonly countsHoldMs: number;
  /** Time that a group takes to re-form, milliseconds. */
  readonly formMs: number;
}

/** A pool of interchangeable targets. */
export interface SiteService {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one target accepts in total. */
  readonly maxConnections: number;
  /** Requests per second that a cold target can take; 0 if it is never cold. */
  readonly coldRequestsPerSecond: number;
  /** Absent for plain services. */
  readonly engine?: EngineProfile;
}

/** Limits for what callers send: sizes, time for headers, idle time. */
export interface RequestLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A party that pays for requests, identified by its keys. */
export interface SiteCustomer {
  readonly name: string;
  readonly keys: readonly string[];
  /** Overrides the priority of the route, unless absent. */
  readonly priority?: number;
}

/** One version of the site document. */
export interface Site {
  readonly version: number;
  readonly routes: readonly SiteRoute[];
  readonly services: ReadonlyMap<string, SiteService>;
  readonly limits: RequestLimits;
  /** Empty when callers need no keys. */
  readonly customers: readonly SiteCustomer[];
}

/** A decoded document, or the first error found in it. */
export type DecodedSite =
  | {readonly ok: true; readonly site: Site}
  | {readonly ok: false; readonly problem: string};
