/** Drives the steps of one engine, or of all ranks of a group together. */

/** An engine that the clock drives. */
export interface Stepper {
  /** Whether the engine has work; a rank of a group always has. */
  busy(): boolean;
  /** Whether the next step may start now. */
  ready(): boolean;
  step(): void;
}

/** Steps all members in lock-step: no member steps unless all are ready. */
export class StepClock {
  private readonly members: Stepper[] = [];
  private timer: NodeJS.Timeout | undefined;
  private closed = false;

  constructor(private readonly stepMs: number) {}

  join(member: Stepper): void {
    this.members.push(member);
  }

  /** Starts the timer unless it already runs. */
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
