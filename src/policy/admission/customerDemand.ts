/** Smoothed demand of one customer in one urgency, over all nodes. */

/**
 * Time constant of the work by which customers are compared. Over half a second the
 * arrivals of a customer with a few requests per second vary by more than its share.
 */
const STEADY_MS = 4_000;
/** Standard deviations by which the rate has to change for a new steady rate. */
const CHANGE_DEVIATIONS = 3;
/** Variance of the work of a request, relative to requests of equal work. */
const WORK_DISPERSION = 2;
/**
 * Time without requests after which a customer is forgotten. A forgotten customer gets
 * the ratio of its urgency, although it is far below its share.
 */
const FORGOTTEN_AFTER_MS = 60_000;
/** Rates below this, in requests per second, count as none. */
const MIN_RATE = 0.001;

/** Arrivals and their work, per second. */
export interface DemandRate {
  readonly arrivals: number;
  readonly work: number;
}

const NO_DEMAND: DemandRate = {arrivals: 0, work: 0};

/** Demand of one customer; the nodes add and remove their parts. */
export class CustomerDemand {
  private reported = NO_DEMAND;
  private recent = NO_DEMAND;
  private steady = NO_DEMAND;
  private idleMs = 0;
  /** Time that the steady rate covers, at most `STEADY_MS`. */
  private steadyMs = 0;

  /** Adds the rate of one node, or takes one away with the sign -1. */
  add(rate: DemandRate, sign: 1 | -1): void {
    this.reported = {
      arrivals: Math.max(0, this.reported.arrivals + sign * rate.arrivals),
      work: Math.max(0, this.reported.work + sign * rate.work),
    };
  }

  /** Starts from what the nodes report now. */
  restart(): void {
    this.recent = this.reported;
    this.steady = this.reported;
    this.steadyMs = 0;
  }

  /** Moves the averages by `elapsedMs`; `recentMs` is the shorter time constant. */
  smooth(elapsedMs: number, recentMs: number): void {
    const isIdle = this.reported.arrivals < MIN_RATE;
    this.idleMs = isIdle ? this.idleMs + elapsedMs : 0;
    this.recent = approach(this.recent, this.reported, elapsedMs / recentMs);
    if (this.hasChanged) {
      this.steady = this.recent;
      this.steadyMs = 0;
      return;
    }
    this.steadyMs = Math.min(STEADY_MS, this.steadyMs + elapsedMs);
    const timeConstantMs = Math.max(recentMs, this.steadyMs);
    this.steady = approach(
      this.steady,
      this.recent,
      elapsedMs / timeConstantMs
    );
  }

  /** Requests per second, smoothed over half a second. */
  get arrivals(): number {
    return this.recent.arrivals;
  }

  /** Work per second, smoothed over seconds; follows a flood at once. */
  get work(): number {
    return this.steady.work;
  }

  get isForgotten(): boolean {
    return this.idleMs > FORGOTTEN_AFTER_MS;
  }

  /** Whether the recent work differs from the steady work by more than chance. */
  private get hasChanged(): boolean {
    const {recent, steady} = this;
    const arrivals = recent.arrivals + steady.arrivals;
    if (arrivals === 0) return false;
    const workPerRequest = (recent.work + steady.work) / arrivals;
    const expected = Math.max(1, steady.arrivals);
    const deviation = workPerRequest * Math.sqrt(WORK_DISPERSION * expected);
    const change = Math.abs(recent.work - steady.work);
    return change > CHANGE_DEVIATIONS * deviation;
  }
}

function approach(
  from: DemandRate,
  to: DemandRate,
  timeConstants: number
): DemandRate {
  const part = 1 - Math.exp(-timeConstants);
  return {
    arrivals: from.arrivals + (to.arrivals - from.arrivals) * part,
    work: from.work + (to.work - from.work) * part,
  };
}
