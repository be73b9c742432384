import {DemandSampler} from '../src/ranks/demandSampler';
import type {SamplerParts} from '../src/ranks/demandSampler';
import {SILENT_LOGGER} from './logCluster';

const RANKS = 12;

/** Reads a sample; returns the ids of the ranks that were called. */
async function sample(
  restricted: readonly string[],
  {size = RANKS, countsHoldMs = 1, acceptedPauseMs = 0} = {}
) {
  const called: string[] = [];
  const ranks = Array.from({length: size}, (_, i) => ({
    id: `r${i}`,
    address: `10.0.0.${i}:80`,
    availabilityZone: 'a',
  }));
  const sampler = new DemandSampler({
    name: 'g',
    engine: {countsHoldMs} as SamplerParts['engine'],
    scope: {fence: 1, epoch: 1},
    ranks,
    codec: {
      countsCall: () => ({method: 'GET', path: '/'}),
    } as SamplerParts['codec'],
    transport: {
      call: async ({address}: {address: string}) => {
        called.push(ranks.find(rank => rank.address === address)?.id ?? '');
        return undefined;
      },
    } as unknown as SamplerParts['transport'],
    logger: SILENT_LOGGER,
    acceptedPauseMs,
    isRestricted: id => restricted.includes(id),
  });
  await sampler.read();
  return called;
}

describe('sample of ranks', () => {
  it('should consist of ranks that are spread over the group', async () => {
    expect(await sample([])).toEqual(['r0', 'r5', 'r10']);
  });

  // A rank that has stated a rate limit has no room for calls that another rank can
  // answer as well.
  it('should leave out ranks that asked for less load', async () => {
    expect(await sample(['r5', 'r6'])).toEqual(['r0', 'r7', 'r10']);
    expect(await sample(['r0', 'r1', 'r2', 'r3', 'r4'])).toEqual(['r5', 'r10']);
  });

  // Eight of 72 ranks hold the group up for 17 ms. Added to a pass right after a
  // demand shift, that was longer than the pause that callers accept.
  it('should hold the group up for a small part of the accepted pause', async () => {
    const group = {size: 72, countsHoldMs: 2.16};
    expect(await sample([], {...group, acceptedPauseMs: 150})).toHaveLength(3);
    expect(await sample([], group)).toHaveLength(8);
  });

  it('should be read even if all ranks asked for less load', async () => {
    const all = Array.from({length: RANKS}, (_, i) => `r${i}`);
    expect(await sample(all)).toEqual(['r0', 'r5', 'r10']);
  });
});
