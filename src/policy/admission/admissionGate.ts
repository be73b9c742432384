/**
 * Admits the part of the arrivals that the leader's admission ratios allow.
 *
 * Each urgency and customer has a credit, to which each arrival adds its ratio, and
 * from which each admitted request takes 1 (error diffusion). The credit starts at
 * random: many nodes with few arrivals each would otherwise all refuse their first
 * ones. Requests that return as told may overdraw the credit and so go before new
 * requests.
 */

import {DecayingRate} from './decayingRate';
import type {ReturnState} from './refusedRequests';
import type {Urgency, UrgencyKey} from './urgency';
import {urgencyKey} from './urgency';

/** Admission ratios of one urgency, 0 to 1. */
export interface UrgencyRatios {
  readonly urgency: UrgencyKey;
  readonly ratio: number;
  /** Ratios of the customers that differ from `ratio`, by name. */
  readonly customers: Readonly<Record<string, number>>;
}

/** Urgency and customer of an arrival; the customer is empty without a key. */
export interface Arrival {
  readonly urgency: Urgency;
  readonly customer: string;
}

/** Decision on an arrival, with the ratio that applied. */
export interface GateDecision {
  readonly isAdmitted: boolean;
  readonly ratio: number;
}

interface Account {
  credit: number;
  readonly arrivals: DecayingRate;
}

interface UrgencyState {
  ratio: number;
  customers: ReadonlyMap<string, number>;
  readonly accounts: Map<string, Account>;
}

/** Without a fresh grant the distance of a ratio to 1 halves in this time. */
const RECOVERY_HALF_LIFE_MS = 2_000;
/**
 * Returning requests may overdraw the credit by what is admitted in this time, since
 * their return times are spread over a few seconds by chance.
 */
const MAX_DEBT_S = 1;
/** For nodes that admit few requests a second. */
const MIN_DEBT = 2;
/** Bounds the burst after arrivals that add credit and cannot use it. */
const MAX_CREDIT = 3;
/** Bounds the memory; the site document has far fewer customers. */
const MAX_ACCOUNTS = 10_000;

/** The gate of one service at one node. */
export class AdmissionGate {
  private readonly states = new Map<UrgencyKey, UrgencyState>();

  /** `random` returns 0 up to but excluding 1. */
  constructor(private readonly random: () => number) {}

  /** Replaces all ratios; urgencies that are absent are admitted whole. */
  setRatios(ratios: readonly UrgencyRatios[]): void {
    for (const state of this.states.values()) {
      state.ratio = 1;
      state.customers = new Map();
    }
    for (const {urgency, ratio, customers} of ratios) {
      const state = this.stateOf(urgency);
      state.ratio = validRatio(ratio);
      state.customers = new Map(
        Object.entries(customers).map(([name, r]) => [name, validRatio(r)])
      );
    }
  }

  /**
   * Decides on an arrival. `staleMs` is the time since the last grant ceased to be
   * fresh, 0 while it is fresh.
   */
  decide(
    {urgency, customer}: Arrival,
    returned: ReturnState,
    staleMs: number,
    nowMs: number
  ): GateDecision {
    const state = this.stateOf(urgencyKey(urgency));
    const account = this.accountOf(state, customer);
    account.arrivals.record(nowMs);
    const ratio = ratioOf(state, customer, staleMs);
    if (ratio >= 1) {
      account.credit = this.random();
      return {isAdmitted: true, ratio};
    }
    account.credit = Math.min(MAX_CREDIT, account.credit + ratio);
    const needed = neededCredit(account, returned, ratio, nowMs);
    const isAdmitted = account.credit >= needed;
    if (isAdmitted) account.credit -= 1;
    return {isAdmitted, ratio};
  }

  /** Requests of an urgency that are admitted per second, at its present arrivals. */
  admittedPerSecond(urgency: Urgency, staleMs: number, nowMs: number): number {
    const state = this.stateOf(urgencyKey(urgency));
    let total = 0;
    for (const [customer, {arrivals}] of state.accounts)
      total += arrivals.perSecond(nowMs) * ratioOf(state, customer, staleMs);
    return total;
  }

  /** Present ratio of each known urgency. */
  ratios(staleMs: number): ReadonlyMap<UrgencyKey, number> {
    return new Map(
      [...this.states].map(([key, {ratio}]) => [key, recovered(ratio, staleMs)])
    );
  }

  private stateOf(key: UrgencyKey): UrgencyState {
    let state = this.states.get(key);
    if (state === undefined) {
      state = {ratio: 1, customers: new Map(), accounts: new Map()};
      this.states.set(key, state);
    }
    return state;
  }

  private accountOf({accounts}: UrgencyState, customer: string): Account {
    let account = accounts.get(customer);
    if (account === undefined) {
      if (accounts.size >= MAX_ACCOUNTS) accounts.clear();
      account = {credit: this.random(), arrivals: new DecayingRate()};
      accounts.set(customer, account);
    }
    return account;
  }
}

/** Credit at which an arrival is admitted; Infinity if it must not be. */
function neededCredit(
  {arrivals}: Account,
  returned: ReturnState,
  ratio: number,
  nowMs: number
): number {
  if (ratio === 0 || returned.kind === 'early') return Infinity;
  if (returned.kind === 'new') return 1;
  const admittedPerSecond = arrivals.perSecond(nowMs) * ratio;
  return 1 - Math.max(MIN_DEBT, MAX_DEBT_S * admittedPerSecond);
}

function ratioOf(
  {ratio, customers}: UrgencyState,
  customer: string,
  staleMs: number
): number {
  return recovered(customers.get(customer) ?? ratio, staleMs);
}

function recovered(ratio: number, staleMs: number): number {
  const left = Math.pow(0.5, Math.max(0, staleMs) / RECOVERY_HALF_LIFE_MS);
  return 1 - (1 - ratio) * left;
}

function validRatio(ratio: number): number {
  return Number.isFinite(ratio) ? Math.min(1, Math.max(0, ratio)) : 1;
}
