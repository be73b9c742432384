/**
 * `admissionCost`: processor time of the leader's admission plan at 300 nodes and 40
 * customers, for each report and for each request, beside the division of slots alone.
 */

import {AdmissionPlan} from '../../src/policy/admission/admissionPlan';
import {
  allocateByUrgency,
  allocateConcurrency,
  type UrgentNodeDemand,
} from '../../src/policy/admission/concurrencyAllocation';
import {SeededRandom} from '../fuzz/schedule';
import type {Figures, Measure, MeasureOptions, MeasureResult} from '../measure';

const NODES = 300;
const CUSTOMERS = 40;
const URGENCIES = ['0/0', '1/0', '1/1', '1/2'];
const CAPACITY = 1_500;
const REQUESTS_PER_REPORT = 5;
const PERIOD_MS = 900;
/** Reports that reach the leader between two computations of the ratios. */
const REPORTS_PER_UPDATE = 17;
const REPORTS_PER_S = 330;
const ROUNDS = 40_000;
const QUICK_ROUNDS = 8_000;
const MAX_REQUEST_US = 20;
/** Part of one core that the leader may spend on reports. */
const MAX_CORE_PERCENT = 5;
const US_PER_MS = 1_000;
const US_PER_S = 1_000_000;

/** Decides at the arrival of one report. */
type Decide = (report: number) => void;

function microsecondsPerReport(rounds: number, decide: Decide): number {
  for (let i = 0; i < rounds / 4; i++) decide(i);
  const startedAt = performance.now();
  for (let i = 0; i < rounds; i++) decide(i);
  return ((performance.now() - startedAt) * US_PER_MS) / rounds;
}

function nodeDemands(random: SeededRandom): readonly UrgentNodeDemand[] {
  return Array.from({length: NODES}, (_, i) => {
    const inFlight = random.int(0, 8);
    const waiting = {'0/0': random.int(0, 2), '1/1': random.int(0, 4)};
    const wanted = inFlight + waiting['0/0'] + waiting['1/1'];
    return {node: `n${i}`, inFlight, waiting, wanted, arrivals: wanted};
  });
}

function planned(random: SeededRandom): Decide {
  const plan = new AdmissionPlan(0.4);
  const demands = nodeDemands(random);
  const reports = Array.from({length: NODES}, () => ({
    inFlight: 4,
    waiting: 2,
    serviceTimeMs: 2_000,
    coveredMs: PERIOD_MS,
    demand: Array.from({length: REQUESTS_PER_REPORT}, () => ({
      urgency: random.pick(URGENCIES),
      customer: `c${random.int(0, CUSTOMERS - 1)}`,
      arrivals: 1,
      work: random.int(10, 500),
    })),
  }));
  return i => {
    const nowMs = (i * PERIOD_MS) / NODES;
    const report = reports[i % NODES];
    if (report !== undefined) plan.report(`n${i % NODES}`, report, nowMs);
    if (i % REPORTS_PER_UPDATE !== 0) return;
    plan.update({
      capacity: CAPACITY,
      knownNodes: NODES,
      isCollecting: false,
      periodMs: PERIOD_MS,
      nowMs,
    });
    allocateByUrgency(CAPACITY, demands);
  };
}

/** The slots are divided, and nothing is shed. */
function divided(random: SeededRandom): Decide {
  const demands = nodeDemands(random);
  return i => {
    if (i % REPORTS_PER_UPDATE === 0) allocateConcurrency(CAPACITY, demands);
  };
}

function figuresOf(reportUs: number): Figures {
  return {
    reportUs,
    requestUs: reportUs / REQUESTS_PER_REPORT,
    corePercent: (reportUs * REPORTS_PER_S * 100) / US_PER_S,
  };
}

/** See the head of this file. */
export const admissionCost: Measure = {
  key: 'admissionCost',
  async run({quick, seed}: MeasureOptions): Promise<MeasureResult> {
    const rounds = quick ? QUICK_ROUNDS : ROUNDS;
    const before = microsecondsPerReport(
      rounds,
      divided(new SeededRandom(seed))
    );
    const reportUs = microsecondsPerReport(
      rounds,
      planned(new SeededRandom(seed))
    );
    const ours = figuresOf(reportUs);
    const {requestUs = 0, corePercent = 0} = ours;
    const met = requestUs <= MAX_REQUEST_US && corePercent <= MAX_CORE_PERCENT;
    return {
      ours,
      baselines: {divisionAlone: figuresOf(before)},
      mark: `at most ${MAX_REQUEST_US} microseconds for each request and ${MAX_CORE_PERCENT}% of a core at ${REPORTS_PER_S} reports per second`,
      met,
      cause: met
        ? undefined
        : `${requestUs.toFixed(1)} microseconds for each request, ${corePercent.toFixed(1)}% of a core`,
    };
  },
};
