import {CONTROL_CODEC} from '../../platform/controlCalls';

const ANNOUNCEMENT = {
  service: 'llm',
  address: '10.0.0.9:8080',
  zone: 'a',
  version: 'v1',
  slots: 8,
  state: 'ready',
  coldRemainingMs: 1_500,
  sequence: 4,
  born: 1_700_000_000_000,
  group: {name: 'g', epoch: 2, rank: 3, state: 'open'},
  size: 12,
};

describe('calls at the control address', () => {
  it.each([
    ['PUT', '/-/config', {kind: 'putSite'}],
    ['GET', '/-/config', {kind: 'getSite'}],
    ['PUT', '/-/instances/i-1', {kind: 'announce', id: 'i-1'}],
    ['DELETE', '/-/instances/i-1', {kind: 'leave', id: 'i-1'}],
    [
      'POST',
      '/-/evacuations/zone-a',
      {kind: 'zone', availabilityZone: 'zone-a', out: true},
    ],
    [
      'DELETE',
      '/-/evacuations/zone-a',
      {kind: 'zone', availabilityZone: 'zone-a', out: false},
    ],
    ['GET', '/-/quarantine', {kind: 'listQuarantine'}],
    [
      'PUT',
      '/-/quarantine/s/5c%2Fe',
      {kind: 'changeQuarantine', change: 'add', service: 's', part: '5c/e'},
    ],
    [
      'DELETE',
      '/-/quarantine/s/5c',
      {kind: 'changeQuarantine', change: 'lift', service: 's', part: '5c'},
    ],
    ['POST', '/-/quarantine/s/5c', undefined],
    [
      'DELETE',
      '/-/crashed-requests/d-_1',
      {kind: 'liftRequest', digest: 'd-_1'},
    ],
    ['GET', '/-/crashed-requests/d-_1', undefined],
    ['PUT', `/-/quarantine/s/${'x'.repeat(65)}`, undefined],
    ['POST', '/-/config', undefined],
    ['PUT', '/-/instances/%E0%A4%A', undefined],
    ['PUT', `/-/instances/${'x'.repeat(257)}`, undefined],
    ['POST', `/-/evacuations/${'x'.repeat(257)}`, undefined],
    ['GET', '/', undefined],
  ])('should read %s %s', (method, url, call) => {
    expect(CONTROL_CODEC.readCall(method, url)).toEqual(call);
  });

  it('should decode the announcement of a rank of a group', () => {
    const text = JSON.stringify(ANNOUNCEMENT);
    const decoded = CONTROL_CODEC.decodeAnnouncement('i-1', text);
    expect(decoded.ok && decoded.announcement).toEqual({
      id: 'i-1',
      bornMs: 1_700_000_000_000,
      sequence: 4,
      service: 'llm',
      address: '10.0.0.9:8080',
      availabilityZone: 'a',
      slots: 8,
      state: 'ready',
      coldMs: 1_500,
      group: {name: 'g', epoch: 2, rank: 3, size: 12, open: true},
    });
  });

  // Other senders may write to the same address. Their data names no target and
  // must not affect the targets that are known.
  it.each([
    ['bytes', '\u0000\u0001'],
    ['nothing', ''],
    ['a list', '[1]'],
    ['null', 'null'],
    ['an unknown state', JSON.stringify({...ANNOUNCEMENT, state: 'resting'})],
    ['slots as text', JSON.stringify({...ANNOUNCEMENT, slots: '8'})],
    ['no address', JSON.stringify({...ANNOUNCEMENT, address: undefined})],
    ['a fractional start time', JSON.stringify({...ANNOUNCEMENT, born: 1.5})],
  ])('should ignore an announcement with %s', (_what, text) => {
    expect(CONTROL_CODEC.decodeAnnouncement('i-1', text).ok).toBe(false);
  });

  // One such check-in ended the leader, and then its successor.
  it.each([
    ['a port out of range', 'address', {address: '10.0.0.9:99999'}],
    ['port 0', 'address', {address: '10.0.0.9:0'}],
    ['an impossible address', 'address', {address: '10.0.0.999:80'}],
    [
      'the most slots a number holds',
      'slots',
      {slots: Number.MAX_SAFE_INTEGER},
    ],
    ['a cold start of years', 'coldRemainingMs', {coldRemainingMs: 1e15}],
    ['a negative sequence', 'sequence', {sequence: -1}],
    ['too many ranks', 'size', {size: Number.MAX_SAFE_INTEGER}],
    ['a long service', 'service', {service: 'x'.repeat(257)}],
    ['a long zone', 'zone', {zone: 'x'.repeat(257)}],
    [
      'a long name of a group',
      'group.name',
      {group: {...ANNOUNCEMENT.group, name: 'x'.repeat(257)}},
    ],
    [
      'an impossible rank',
      'group.rank',
      {group: {...ANNOUNCEMENT.group, rank: Number.MAX_SAFE_INTEGER}},
    ],
  ])('should reject %s, and name the field', (_what, field, change) => {
    const text = JSON.stringify({...ANNOUNCEMENT, ...change});
    const decoded = CONTROL_CODEC.decodeAnnouncement('i-1', text);
    expect(decoded).toMatchObject({
      ok: false,
      problem: expect.stringMatching(`^${field}: `) as string,
    });
  });
});
