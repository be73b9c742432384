/**
 * Departures of targets that were acknowledged. A target relies on an acknowledgement,
 * so that it has to outlive the process that gave it.
 */

import type {DepartureCommand} from './command';

/** Bounds the state; each boot of a target that leaves takes one. */
const MAX_DEPARTURES = 4_096;

/** Departure of one boot of a target. */
export type Departure = Omit<DepartureCommand, 'kind'>;

/** Departures as stored in snapshots, the oldest first. */
export type DepartureSnapshot = readonly Departure[];

/** The part of a departure that names the boot. */
type Boot = Pick<Departure, 'targetId' | 'bornMs'>;

/**
 * Departures by boot. One of a boot that claims a later start must not hide those of the
 * others under its id.
 */
export class DepartureState {
  private readonly departures = new Map<string, Departure>();

  /** The departure of this boot; undefined for one that stays. */
  find(targetId: string, bornMs: number): Departure | undefined {
    return this.departures.get(bootKey({targetId, bornMs}));
  }

  /** Whether the command would change nothing. */
  holds({targetId, bornMs, state, sequence}: DepartureCommand): boolean {
    const known = this.find(targetId, bornMs);
    if (known === undefined) return false;
    if (known.state === 'gone') return true;
    return state === 'draining' && known.sequence >= sequence;
  }

  apply(command: DepartureCommand): void {
    if (this.holds(command)) return;
    const {targetId, bornMs, state, sequence} = command;
    // Reinserted at the end: the oldest is evicted first.
    const key = bootKey(command);
    this.departures.delete(key);
    this.departures.set(key, {targetId, bornMs, state, sequence});
    if (this.departures.size <= MAX_DEPARTURES) return;
    const [oldest] = this.departures.keys();
    if (oldest !== undefined) this.departures.delete(oldest);
  }

  snapshot(): DepartureSnapshot {
    return [...this.departures.values()];
  }

  restore(snapshot: DepartureSnapshot): void {
    this.departures.clear();
    for (const departure of snapshot)
      this.departures.set(bootKey(departure), departure);
  }
}

function bootKey({targetId, bornMs}: Boot): string {
  return `${bornMs} ${targetId}`;
}
