import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {loadNodeSettings} from '../../src/settings/loadSettings';
import {EXAMPLE_VALUES, renderTemplate} from './platformSettings';

describe('settings template of the platform', () => {
  const dir = mkdtempSync(path.join(tmpdir(), 'marlpulley-settings-'));
  const file = path.join(dir, 'node.ini');
  afterAll(() => rmSync(dir, {recursive: true}));

  function load(change: Readonly<Record<string, string>> = {}) {
    writeFileSync(file, renderTemplate({...EXAMPLE_VALUES, ...change}));
    return loadNodeSettings(file);
  }

  it('should load the documented example', () => {
    const settings = load();
    expect(settings.cluster).toMatchObject({
      port: 7_340,
      seeds: ['10.1.0.40', '10.2.0.29', '10.3.0.19'],
      firstStart: 'true',
      lossesBorne: 1,
      dataFolder: '/data/my-front',
    });
    expect(settings.listen.callers).toEqual({host: '10.1.0.40', port: 8_227});
    expect(settings.bounds.retryRatio).toBe(0.2);
  });

  it('should load a node without a disk', () => {
    expect(load({dataDir: ''}).cluster.dataFolder).toBe('');
  });

  it.each([
    [{'listen.front': '10.1.0.40'}, '[listen] callers', 'IP:PORT'],
    [{heartbeatMs: ''}, '[bounds] heartbeat-ms', 'a whole number from 100'],
    [{'bounds.retryBudgetRatio': '7'}, '[bounds] retry-ratio', 'from 0 to 1'],
    [{seeds: 'seed.example:1'}, '[cluster] seeds', 'IP addresses'],
    [{bootstrap: 'maybe'}, '[cluster] first-start', '"true", "false"'],
  ])(
    'should name the file, key and valid values for %j',
    (change, key, range) => {
      expect(() => load(change as Record<string, string>)).toThrow(
        expect.objectContaining({
          problems: [expect.stringMatching(/node\.ini/)],
          message: expect.stringContaining(key),
        }) as Error
      );
      expect(() => load(change as Record<string, string>)).toThrow(range);
    }
  );
});
