/** Logs changes of admission ratios, which are recomputed all the time. */

import type {Logger} from '../core/logger';
import type {AdmissionPlan, PlanInput} from '../policy/admission/admissionPlan';

/** Change of a ratio above which it is logged. */
const MIN_LOGGED_CHANGE = 0.1;
/** Least time between two lines of a service; ratios fall over several reports. */
const MIN_INTERVAL_MS = 1_000;

interface LoggedRatios {
  readonly atMs: number;
  readonly ratios: ReadonlyMap<string, number>;
}

/** Compares the ratios of each service with those logged last. */
export class AdmissionChangeLogger {
  private readonly logged = new Map<string, LoggedRatios>();

  constructor(private readonly logger: Logger) {}

  logIfChanged(
    service: string,
    {capacity, nowMs}: PlanInput,
    {states, wanted}: Pick<AdmissionPlan, 'states' | 'wanted'>
  ): void {
    const last = this.logged.get(service);
    if (nowMs - (last?.atMs ?? -Infinity) < MIN_INTERVAL_MS) return;
    const ratios = new Map(states.map(({urgency, ratio}) => [urgency, ratio]));
    if (!hasClearChange(last?.ratios ?? new Map(), ratios)) return;
    this.logged.set(service, {atMs: nowMs, ratios});
    this.logger.info(
      {
        event: 'admission.changed',
        service,
        places: Math.round(capacity),
        wanted: Math.round(wanted),
        urgencies: states.map(({urgency, slots, ratio}) => ({
          urgency,
          wanted: Math.round(slots),
          ratio: Number(ratio.toFixed(3)),
        })),
      },
      `admission ratios of service ${service} changed`
    );
  }
}

/** Whether a ratio changed by a tenth, or the last one became whole. */
function hasClearChange(
  last: ReadonlyMap<string, number>,
  ratios: ReadonlyMap<string, number>
): boolean {
  const keys = new Set([...last.keys(), ...ratios.keys()]);
  const changed = [...keys].some(key => {
    const change = (ratios.get(key) ?? 1) - (last.get(key) ?? 1);
    return Math.abs(change) > MIN_LOGGED_CHANGE;
  });
  return changed || (isWhole(ratios) && !isWhole(last));
}

function isWhole(ratios: ReadonlyMap<string, number>): boolean {
  return [...ratios.values()].every(ratio => ratio === 1);
}
