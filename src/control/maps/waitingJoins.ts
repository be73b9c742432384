/** Ranks that have started and wait for the active map. */

import type {JoinRequest} from '../../core/mapMessages';
import type {GroupMaps} from './mapState';
import type {SwitchAction} from './mapSwitchEvents';

/** A join request and the first read that may answer it. */
interface WaitingJoin {
  readonly req: JoinRequest;
  readonly seq: number;
}

/** The latest join request of each rank. */
export class WaitingJoins {
  private readonly byRank = new Map<number, WaitingJoin>();

  get size(): number {
    return this.byRank.size;
  }

  /** `seq` is the number of the first read that may answer it. */
  add(req: JoinRequest, seq: number): void {
    this.byRank.set(req.rank, {req, seq});
  }

  clear(): void {
    this.byRank.clear();
  }

  /** Answers joins from the state of read `seq` and removes those answered. */
  answerFrom(
    seq: number,
    group: string,
    {fence, current, previous}: GroupMaps
  ): readonly SwitchAction[] {
    if (current === undefined) return [];
    // A read that began before the rank joined may be older than a switch that
    // the rank took part in before it restarted.
    const answerable = [...this.byRank.values()].filter(
      join => join.seq <= seq
    );
    answerable.forEach(({req}) => this.byRank.delete(req.rank));
    return answerable.map(({req: {rank, attempt}}): SwitchAction => ({
      kind: 'send',
      rank,
      message: {
        kind: 'joinAnswer',
        group,
        attempt,
        fence,
        current,
        previous,
      },
    }));
  }
}
