/** Steps of an engine, or of all ranks of a group together. */

/** What the clock drives. */
export interface Stepper {
  /** Whether there is any reason to step. */
  busy(): boolean;
  /** Whether the next step may start now. */
  ready(): boolean;
  step(): void;
}

/** Ranks advance in lock-step: one that is not ready holds back all. */
export class StepClock {
  private readonly members: Stepper[] = [];
  private timer: NodeJS.Timeout | undefined;
  private closed = false;

  constructor(private readonly stepMs: number) {}

  join(member: Stepper): void {
    this.members.push(member);
  }

  /** Starts stepping unless it already does. */
  wake(): void {
    if (this.timer !== undefined || this.closed) return;
    this.timer = setTimeout(() => this.tick(), this.stepMs);
  }

  close(): void {
    this.closed = true;
    clearTimeout(this.timer);
  }

  private tick(): void {
    this.timer = undefined;
    if (!this.members.some(member => member.busy())) return;
    if (this.members.every(member => member.ready()))
      for (const member of this.members) member.step();
    this.wake();
  }
}
