import {planMap} from '../src/ranks/mapPlan';
import {ExpertDemand} from '../src/ranks/expertDemand';
import type {EngineProfile} from '../src/site/site';

const RANKS = 4;
const EXPERTS = 8;

const ENGINE: EngineProfile = {
  slots: 8,
  stepsPerPass: 4,
  stepMs: 4.55,
  stepMsPerRequest: 1.3575,
  usualReadMs: 13.6,
  usualAnswerTokens: 97,
  expertShare: 0.85,
  expertSets: 1,
  experts: EXPERTS,
  placesPerRank: 3,
  sparePlaces: 1,
  expertCopyMs: 98,
  countsHoldMs: 0,
  formMs: 600,
};

function evenDemand(): ExpertDemand {
  const demand = new ExpertDemand(1, EXPERTS);
  const reading = (count: number) => [
    {
      rankId: 'r',
      counts: {epoch: 1, pass: 1, counts: Array(EXPERTS).fill(count)},
    },
  ];
  demand.beginWindows(reading(0));
  demand.addReadings(reading(1_000), true);
  return demand;
}

describe('map planning', () => {
  // One rank is twelve times slower. Its skew of 12 was used as the forecast
  // for the next demand shift, which kept the group at its lowest concurrency
  // limit for 12 s.
  it('should separate the skew of demand from that of a slow rank', async () => {
    const plan = await planMap({
      current: [Array.from({length: RANKS}, (_, r) => [2 * r, 2 * r + 1])],
      demand: evenDemand(),
      engine: ENGINE,
      slowness: [1, 1, 12, 1],
    });
    expect(plan.before).toBeCloseTo(12);
    expect(plan.beforeIfInOrder).toBeCloseTo(1);
  });
});
