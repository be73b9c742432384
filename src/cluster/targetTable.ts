/**
 * The known targets, merged from the announcements that any node received. The
 * leader keeps the shared table and numbers its changes; each node keeps a copy.
 */

import type {Departure} from '../control/state/departureState';
import {parseHostPort} from '../core/hostPort';
import type {TargetRecord} from '../site/announcement';
import {MAX_NAME_CHARS, MAX_SLOTS, MAX_TARGETS} from '../site/announcement';
import {OutdatedBoots} from './outdatedBoots';

/**
 * Records of gone and silent targets are kept this long, so that late
 * announcements are recognized as outdated.
 */
const KEEP_ABSENT_MS = 60_000;
/** Copies keep them for longer than the leader, which may send them again. */
const EVICT_ABSENT_MS = 2 * KEEP_ABSENT_MS;
const EVICT_INTERVAL_MS = 5_000;

/**
 * A target that has restarted does not leave so soon; an order to take it out is a late
 * one of its previous boot.
 */
const MIN_LIFETIME_MS = 5_000;

interface Entry {
  readonly record: TargetRecord;
  /** Table revision of the last change of the record. */
  readonly revision: number;
  /** Local time of its last announcement. */
  readonly seenAtMs: number;
  /** Local time from which this boot is known. */
  readonly knownSinceMs: number;
  /** Whether an earlier boot of the target was known before. */
  readonly isRestart: boolean;
}

/** An entry as it is put into the table, which adds what it knows of the boot. */
type EntryUpdate = Omit<Entry, 'knownSinceMs' | 'isRestart'>;

/** State in which the log has the departure of a boot; undefined if it stays. */
export type DepartureLookup = (
  record: TargetRecord
) => Pick<Departure, 'state' | 'sequence'> | undefined;

/** Records by id. An address belongs to the latest boot known there. */
export class TargetTable {
  private readonly entries = new Map<string, Entry>();
  /** Ids of all boots known at an address. */
  private readonly idsByAddress = new Map<string, Set<string>>();
  private readonly outdatedBoots = new OutdatedBoots();
  private lastRevision = 0;
  private evictedAtMs = -Infinity;

  constructor(
    private readonly departureOf: DepartureLookup = () => undefined
  ) {}

  /** Revision of the latest change. */
  get revision(): number {
    return this.lastRevision;
  }

  /** All records, those of targets that left included. */
  records(): readonly TargetRecord[] {
    return [...this.entries.values()].map(({record}) => record);
  }

  find(id: string): TargetRecord | undefined {
    return this.entries.get(id)?.record;
  }

  /**
   * Whether an order to take a target out that was sent at `sentAtMs` or later can be
   * meant for the known boot, and not for the one before.
   */
  canLeave(id: string, sentAtMs: number, nowMs: number): boolean {
    const known = this.entries.get(id);
    if (known === undefined) return false;
    const {knownSinceMs, isRestart} = known;
    const isYoung = isRestart && nowMs - knownSinceMs < MIN_LIFETIME_MS;
    return knownSinceMs <= sentAtMs && !isYoung;
  }

  /** The latest boot that is known at an address; undefined after it left. */
  findByAddress(address: string): TargetRecord | undefined {
    const records = [...(this.idsByAddress.get(address) ?? [])].flatMap(
      id => this.entries.get(id)?.record ?? []
    );
    return records.find(({state}) => state !== 'gone');
  }

  /** Records that changed after a revision. */
  changedSince(revision: number): readonly TargetRecord[] {
    if (revision === this.lastRevision) return [];
    return [...this.entries.values()]
      .filter(entry => entry.revision > revision)
      .map(({record}) => record);
  }

  /** Merges one record; false when a newer one is known, or it names no address. */
  merge(announced: TargetRecord, nowMs: number): boolean {
    if (!isSound(announced)) return false;
    const record = this.withDeparture(announced);
    const known = this.entries.get(record.id);
    if (!this.makeRoomFor(record.id)) return false;
    let outlastedBornMs = outlastedBy(known?.record, record);
    if (this.isOutdated(record)) {
      outlastedBornMs = this.outlast(record, nowMs);
      if (outlastedBornMs === undefined) return false;
    }
    const changed = known === undefined || !isEquivalent(known.record, record);
    const revision = changed ? ++this.lastRevision : known.revision;
    const merged = {...withLimitOf(known?.record, record), outlastedBornMs};
    this.set({record: merged, revision, seenAtMs: nowMs}, nowMs);
    if (changed) this.retireEarlierBoots(record, nowMs);
    return true;
  }

  /** Sets or removes the rate limit of the known boot; only the leader does. */
  setRateLimit(id: string, rateLimit: number | undefined): void {
    const entry = this.entries.get(id);
    if (entry === undefined || entry.record.rateLimit === rateLimit) return;
    this.putChange({...entry.record, rateLimit}, entry.seenAtMs);
  }

  /** Merges a record of the leader's table, unless a newer one is known. */
  mergeShared(shared: TargetRecord, nowMs: number): void {
    if (!isSound(shared)) return;
    const record = this.withDeparture(shared);
    const known = this.entries.get(record.id)?.record;
    if (known === undefined && !this.makeRoomFor(record.id)) return;
    if (known !== undefined && !isOutlasted(known, record)) {
      if (record.bornMs < known.bornMs) return;
      const isSameBoot = record.bornMs === known.bornMs;
      const isOlder = isSameBoot && record.sequence < known.sequence;
      const isGone = isSameBoot && known.state === 'gone';
      if (isGone || (isOlder && record.state !== 'gone')) {
        // The announcement that is known here is newer, but the limit is the leader's.
        this.setRateLimit(record.id, record.rateLimit);
        return;
      }
    }
    this.putChange(record, nowMs);
  }

  /** Marks the known boot of a target that leaves as gone; undefined without one. */
  leave(id: string, nowMs: number): TargetRecord | undefined {
    const known = this.entries.get(id)?.record;
    if (known === undefined) return undefined;
    const record: TargetRecord = {...known, state: 'gone'};
    if (known.state !== 'gone') this.putChange(record, nowMs);
    return record;
  }

  /** Applies the departure of the known boot, if there is one in the log. */
  applyDeparture(id: string, nowMs: number): void {
    const known = this.entries.get(id)?.record;
    if (known === undefined) return;
    const record = this.withDeparture(known);
    if (record !== known) this.putChange(record, nowMs);
  }

  /** Applies a departure that the leader's log has; other boots stay as they are. */
  depart({targetId, bornMs, ...departure}: Departure, nowMs: number): void {
    const known = this.entries.get(targetId)?.record;
    if (known?.bornMs !== bornMs) return;
    const record = departed(known, departure);
    if (record !== known) this.putChange(record, nowMs);
  }

  /** Restarts all silence timers; gone and silent targets keep their state. */
  markAllSeen(nowMs: number): void {
    for (const [id, entry] of this.entries)
      this.entries.set(id, {...entry, seenAtMs: nowMs});
  }

  /** Marks targets without announcements silent, and drops old records. */
  expire(nowMs: number, silentAfterMs: number): void {
    for (const [id, {record, seenAtMs}] of this.entries) {
      const age = nowMs - seenAtMs;
      const isPresent = record.state === 'ready' || record.state === 'draining';
      if (isPresent && age >= silentAfterMs)
        this.putChange({...record, state: 'silent'}, seenAtMs);
      if (!isPresent && age >= KEEP_ABSENT_MS) this.delete(id);
    }
  }

  /** Drops the records of targets that left or fell silent long ago. */
  evictAbsent(nowMs: number): void {
    if (nowMs - this.evictedAtMs < EVICT_INTERVAL_MS) return;
    this.evictedAtMs = nowMs;
    for (const [id, entry] of this.entries)
      if (isAbsent(entry) && nowMs - entry.seenAtMs >= EVICT_ABSENT_MS)
        this.delete(id);
  }

  /** Evicts an absent target if need be; false if all are present and it is a new one. */
  makeRoomFor(id: string): boolean {
    if (this.entries.size < MAX_TARGETS || this.entries.has(id)) return true;
    for (const [known, entry] of this.entries) {
      if (!isAbsent(entry)) continue;
      this.delete(known);
      return true;
    }
    return false;
  }

  /** The record in the state that an acknowledged departure leaves it in. */
  private withDeparture(record: TargetRecord): TargetRecord {
    const departure = this.departureOf(record);
    return departure === undefined ? record : departed(record, departure);
  }

  private putChange(record: TargetRecord, seenAtMs: number): void {
    const revision = ++this.lastRevision;
    this.set({record, revision, seenAtMs}, seenAtMs);
  }

  private set(update: EntryUpdate, nowMs: number): void {
    const {id, address, bornMs} = update.record;
    const known = this.entries.get(id);
    const isSameBoot = known?.record.bornMs === bornMs;
    const {knownSinceMs, isRestart} = isSameBoot
      ? known
      : {knownSinceMs: nowMs, isRestart: known !== undefined};
    if (known?.record.address !== address) this.removeAddress(id);
    this.entries.set(id, {...update, knownSinceMs, isRestart});
    const ids = this.idsByAddress.get(address) ?? new Set();
    this.idsByAddress.set(address, ids.add(id));
  }

  private delete(id: string): void {
    this.removeAddress(id);
    this.entries.delete(id);
    this.outdatedBoots.delete(id);
  }

  private removeAddress(id: string): void {
    const address = this.entries.get(id)?.record.address;
    if (address === undefined) return;
    const ids = this.idsByAddress.get(address);
    ids?.delete(id);
    if (ids?.size === 0) this.idsByAddress.delete(address);
  }

  /** Records of other boots at the address of a record. */
  private othersAt({id, address}: TargetRecord): readonly TargetRecord[] {
    const ids = [...(this.idsByAddress.get(address) ?? [])];
    return ids
      .filter(other => other !== id)
      .flatMap(other => this.entries.get(other)?.record ?? []);
  }

  private isOutdated(record: TargetRecord): boolean {
    const known = this.find(record.id);
    if (known !== undefined && !isNewer(record, known)) return true;
    if (record.state === 'gone') return false;
    // It may have outlasted a later boot at its address before.
    const isPresent = known !== undefined && !isAbsentState(known.state);
    const goesOn =
      isPresent &&
      known.bornMs === record.bornMs &&
      known.address === record.address;
    return !goesOn && this.laterAt(record).length > 0;
  }

  /**
   * The latest start that an outdated boot has outlasted: it goes on announcing itself
   * while nothing is heard of what outweighs it, whose start or sequence number was
   * announced wrongly. Undefined if it has not.
   */
  private outlast(record: TargetRecord, nowMs: number): number | undefined {
    if (record.state === 'gone') return undefined;
    const {id, bornMs} = record;
    const known = this.find(id);
    const isSameBoot = known?.bornMs === bornMs;
    if (isSameBoot && known.sequence === record.sequence) return undefined;
    const hasLeft = isSameBoot && known.state === 'gone';
    if (hasLeft && !this.isRetired(known)) return undefined;
    const isRepeated = this.outdatedBoots.note(record, nowMs);
    const later = this.laterAt(record);
    const outweighing = known === undefined ? later : [known, ...later];
    if (!isRepeated || outweighing.some(({state}) => !isAbsentState(state)))
      return undefined;
    this.outdatedBoots.delete(id);
    for (const other of later)
      if (other.state !== 'gone')
        this.putChange({...other, state: 'gone'}, nowMs);
    return Math.max(...outweighing.map(other => other.bornMs));
  }

  /** Whether the boot is gone only because of a later one at its address, now absent. */
  private isRetired(record: TargetRecord | undefined): boolean {
    if (record?.state !== 'gone') return false;
    const later = this.laterAt(record);
    return later.length > 0 && later.every(({state}) => isAbsentState(state));
  }

  /** Later boots of other targets at the address of a record. */
  private laterAt(record: TargetRecord): readonly TargetRecord[] {
    return this.othersAt(record).filter(({bornMs}) => bornMs > record.bornMs);
  }

  /** Marks earlier boots at the address gone: it belongs to the latest one. */
  private retireEarlierBoots(record: TargetRecord, nowMs: number): void {
    for (const other of this.othersAt(record))
      if (other.bornMs < record.bornMs && other.state !== 'gone')
        this.putChange({...other, state: 'gone'}, nowMs);
  }
}

/** The record of a boot in the state that its departure leaves it in. */
function departed(
  record: TargetRecord,
  {state, sequence}: Pick<Departure, 'state' | 'sequence'>
): TargetRecord {
  if (record.state === 'gone') return record;
  if (state === 'gone') return {...record, state};
  const isEarlier = record.sequence <= sequence;
  return record.state === 'ready' && isEarlier ? {...record, state} : record;
}

/** A node of an older version may have accepted values that can't be used. */
function isSound(record: TargetRecord): boolean {
  const {id, address, service, availabilityZone, slots, group} = record;
  const names = [id, service, availabilityZone, group?.name ?? ''];
  return (
    parseHostPort(address) !== undefined &&
    slots <= MAX_SLOTS &&
    names.every(name => name.length <= MAX_NAME_CHARS)
  );
}

function isAbsent({record}: Entry): boolean {
  return isAbsentState(record.state);
}

function isAbsentState(state: TargetRecord['state']): boolean {
  return state === 'silent' || state === 'gone';
}

/**
 * A boot that has left, or drains, never becomes ready again: a late
 * announcement must not bring it back.
 */
function isNewer(record: TargetRecord, known: TargetRecord): boolean {
  if (record.bornMs !== known.bornMs) return record.bornMs > known.bornMs;
  if (known.state === 'gone') return false;
  if (record.state === 'gone') return true;
  return record.sequence > known.sequence;
}

/** What the boot has outlasted by its earlier announcements. */
function outlastedBy(
  known: TargetRecord | undefined,
  record: TargetRecord
): number | undefined {
  return known?.bornMs === record.bornMs ? known.outlastedBornMs : undefined;
}

/**
 * Whether a copy is of what the boot in the leader's record has outlasted. The copy may
 * have missed that this fell silent.
 */
function isOutlasted(copy: TargetRecord, record: TargetRecord): boolean {
  const {outlastedBornMs} = record;
  if (outlastedBornMs === undefined || copy.bornMs > outlastedBornMs)
    return false;
  return (
    copy.bornMs !== record.bornMs || copy.outlastedBornMs !== outlastedBornMs
  );
}

/** An announcement of the same boot does not change its rate limit. */
function withLimitOf(
  known: TargetRecord | undefined,
  record: TargetRecord
): TargetRecord {
  const rateLimit =
    known?.bornMs === record.bornMs ? known.rateLimit : undefined;
  return {...record, rateLimit};
}

/** Whether both records have the same effect on every reader. */
function isEquivalent(a: TargetRecord, b: TargetRecord): boolean {
  return (
    a.bornMs === b.bornMs &&
    a.state === b.state &&
    a.service === b.service &&
    a.address === b.address &&
    a.availabilityZone === b.availabilityZone &&
    a.slots === b.slots &&
    a.coldMs > 0 === b.coldMs > 0 &&
    a.group?.name === b.group?.name &&
    a.group?.epoch === b.group?.epoch &&
    a.group?.rank === b.group?.rank &&
    a.group?.size === b.group?.size &&
    a.group?.open === b.group?.open
  );
}
