import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {checkSettings} from '../src/cli/checkSettings';
import {ConfigError} from '../src/core/errors';
import {describeSettings} from '../src/settings/describeSettings';
import {
  loadAgentSettings,
  loadControlSettings,
  loadEntrySettings,
} from '../src/settings/loadSettings';

const PROCESS = `[process]
id = entry-1
availability-zone = zone-a
host = 127.0.0.1
`;
const INTERNAL_AND_CONTROL = `[internal]
key = 0123456789abcdef
[control]
instances = c1@127.0.0.1:7101, c2@127.0.0.1:7102, c3@[::1]:7103
`;
const ENTRY_FILE = `${PROCESS}${INTERNAL_AND_CONTROL}[callers]
port = 8080
[customer-keys]
s3cret-of-harbour = harbour
`;

describe('settings', () => {
  let folder: string;
  beforeEach(() => {
    folder = mkdtempSync(path.join(tmpdir(), 'marlpulley-settings-'));
  });
  afterEach(() => rmSync(folder, {recursive: true}));

  function writeSettings(text: string): string {
    const settingsFile = path.join(folder, 'x.ini');
    writeFileSync(settingsFile, text);
    return settingsFile;
  }

  function problemsOf(
    load: (settingsFile: string) => unknown,
    text: string
  ): string {
    try {
      load(writeSettings(text));
    } catch (err) {
      if (err instanceof ConfigError)
        return err.message.replaceAll(`${folder}/`, '');
      throw err;
    }
    return '';
  }

  it('should load an entry with defaults filled in', () => {
    const cfg = loadEntrySettings(writeSettings(ENTRY_FILE));
    expect(cfg.process).toMatchObject({id: 'entry-1', logLevel: 'info'});
    expect(cfg.internal).toEqual({port: 0, key: '0123456789abcdef'});
    expect(cfg.control.proofMs).toBe(2500);
    expect(cfg.control.instances[2]).toEqual({
      id: 'c3',
      host: '::1',
      port: 7103,
    });
    expect(cfg.callers).toMatchObject({port: 8080, maxBodyBytes: 1048576});
    expect(cfg.customerKeys.get('s3cret-of-harbour')).toBe('harbour');
  });

  it('should resolve the secret and the data folder relative to the file', () => {
    writeFileSync(path.join(folder, 'secret'), 'fedcba9876543210\n');
    const cfg = loadControlSettings(
      writeSettings(`[process]\nid = c1\navailability-zone = a\nhost = 127.0.0.1
[internal]\nport = 7101\nkey-file = secret\n[control]
instances = c1@127.0.0.1:7101\n[data]\nfolder = data\n`)
    );
    expect(cfg.internal.key).toBe('fedcba9876543210');
    expect(cfg.data.folder).toBe(path.join(folder, 'data'));
  });

  it('should report all problems at once, with file, section and range', () => {
    const text = `${PROCESS}${INTERNAL_AND_CONTROL}[target]
id = t1
pool = planner
kind = engin
host = 0.0.0.0
prot = 80
[targets]
`;
    expect(problemsOf(loadAgentSettings, text).split('\n')).toEqual([
      'x.ini: [target] unknown key "prot"; did you mean "port"?',
      'x.ini: unknown section [targets]; did you mean "target"?',
      'x.ini: [target] kind must be one of "engine", "service", not "engin"',
      'x.ini: [target] host must be an IP address of this machine, not 0.0.0.0 or ::, not "0.0.0.0"',
      'x.ini: [target] port is missing; it must be a port from 1 to 65535',
    ]);
  });

  it.each([
    ['[callers]', '[callers]\nport = 1', '[callers] port is given twice'],
    ['key = 0123456789abcdef', '', '[internal] give either key or key-file'],
    ['key = 0123456789abcdef', 'key = short', 'text of 16 characters or more'],
    ['key = 0123456789abcdef', 'key-file = none', 'key-file: '],
    [
      '[control]',
      'accept-key = 0123456789abcdef\n[control]',
      '[internal] accept-key must be another than key',
    ],
    ['c2@127.0.0.1:7102', 'c1@127.0.0.1:7102', '1 to 23 different ID@IP:PORT'],
    ['c2@127.0.0.1:7102', 'c2@control:7102', '1 to 23 different ID@IP:PORT'],
    [
      '[control]',
      '[control]\npoll-ms = 900',
      'proof-ms must be 4 times poll-ms',
    ],
    ['id = entry-1', 'id = entry-1\nmetrics-port = 8125', 'go together'],
    ['[process]', 'id = x\n[process]', '"id" stands before any [section]'],
  ])('should refuse a file with %j as %j', (from, to, reason) => {
    expect(
      problemsOf(loadEntrySettings, ENTRY_FILE.replace(from, to))
    ).toContain(reason);
  });

  it('should refuse a control instance at another address than listed', () => {
    const text = `${PROCESS.replace('entry-1', 'c1')}${INTERNAL_AND_CONTROL.replace('key', 'port = 7109\nkey')}[data]\nfolder = d\n`;
    expect(problemsOf(loadControlSettings, text)).toContain(
      '[control] instances give "c1" as 127.0.0.1:7101'
    );
  });

  it('should check a file without starting anything', () => {
    const lines: string[] = [];
    const print = (line: string) => lines.push(line);
    expect(checkSettings('entry', writeSettings(ENTRY_FILE), print)).toBe(0);
    const bad = ENTRY_FILE.replace('8080', 'x').replace(
      '[callers]',
      '[caller]'
    );
    expect(checkSettings('entry', writeSettings(bad), print)).toBe(2);
    expect(lines).toHaveLength(3);
    expect(lines[1]).toContain('unknown section [caller]');
  });

  it('should describe every key with its range and meaning', () => {
    for (const role of ['entry', 'agent', 'control', 'client'] as const)
      for (const key of describeSettings(role)) {
        expect(key.range).not.toBe('');
        expect(key.meaning).not.toBe('');
      }
  });
});
