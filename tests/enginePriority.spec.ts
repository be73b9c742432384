import {enginePriority} from '../src/policy/enginePriority';

describe('engine priority', () => {
  it('should rank new prompts before resumed ones, and customers in credit first', () => {
    // After the loss of a zone a third of all streams resume at the same moment.
    // Their long prompts must not delay the first token of new requests.
    const order = [
      enginePriority({inCredit: true, resumed: false}),
      enginePriority({inCredit: false, resumed: false}),
      enginePriority({inCredit: true, resumed: true}),
    ];
    expect(order).toEqual([...order].sort((a, b) => b - a));
    expect(new Set(order).size).toBe(3);
  });
});
