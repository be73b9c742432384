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

/** Last departure by target id. */
export class DepartureState {
  private readonly departures = new Map<string, Departure>();

  /** The departure of this boot; undefined for one that stays. */
  find(targetId: string, bornMs: number): Departure | undefined {
    const departure = this.departures.get(targetId);
    return departure?.bornMs === bornMs ? departure : undefined;
  }

  /** Whether the command would change nothing. */
  holds({targetId, bornMs, state, sequence}: DepartureCommand): boolean {
    const known = this.departures.get(targetId);
    if (known === undefined || known.bornMs < bornMs) return false;
    if (known.bornMs > bornMs || known.state === 'gone') return true;
    return state === 'draining' && known.sequence >= sequence;
  }

  apply(command: DepartureCommand): void {
    if (this.holds(command)) return;
    const {targetId, bornMs, state, sequence} = command;
    // Reinserted at the end: the oldest is evicted first.
    this.departures.delete(targetId);
    this.departures.set(targetId, {targetId, bornMs, state, sequence});
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
      this.departures.set(departure.targetId, departure);
  }
}
