import {urgencyRanks} from '../src/gateway/urgencyRanks';
import type {Site, SiteRoute} from '../src/site/site';

function site(routes: readonly number[], customers: readonly number[]): Site {
  const split = [{service: 's', weight: 1}];
  return {
    routes: [
      ...routes.map(priority => ({priority, split})),
      {priority: 50, split: [{service: 'other', weight: 1}]},
    ] as unknown as SiteRoute[],
    customers: customers.map(priority => ({name: '', keys: [], priority})),
  } as unknown as Site;
}

describe('ranks of urgencies', () => {
  // Guards against the priority of routes that orders nothing, as customers state 1.
  it('should order by the customer, then by the route', () => {
    const ranks = urgencyRanks(site([0, 2], [1]), 's');
    expect([...ranks]).toEqual([
      ['0/0', 0],
      ['1/0', 1],
      ['1/2', 2],
      ['2/2', 3],
    ]);
  });

  it('should be at most 9', () => {
    const ranks = urgencyRanks(site([0, 1, 2], [1, 2, 3, 4, 5]), 's');
    expect(ranks.size).toBe(16);
    expect(Math.max(...ranks.values())).toBe(9);
  });
});
