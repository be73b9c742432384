import {spawnSync} from 'node:child_process';
import path from 'node:path';

const ROOT = path.join(__dirname, '..');
const BINARY = path.join(ROOT, 'dist', 'marlpulley');
const SETTINGS = path.join(ROOT, 'examples', 'shannonside', 'entry.ini');

function run(...args: readonly string[]) {
  const {status, stdout, stderr} = spawnSync(BINARY, args, {encoding: 'utf8'});
  return {status, out: stdout + stderr};
}

describe('the single binary', () => {
  it('should list its subcommands', () => {
    const {status, out} = run('--help');
    expect(status).toBe(0);
    for (const name of ['entry', 'agent', 'control', 'submit', 'status'])
      expect(out).toContain(name);
  });

  it.each([
    'entry',
    'agent',
    'control',
    'submit',
    'check',
    'status',
    'explain',
    'usage',
  ])('should print the help of %s', name => {
    const {status, out} = run(name, '--help');
    expect(status).toBe(0);
    expect(out).toContain(`marlpulley ${name}`);
  });

  it.each([
    ['an unknown subcommand', ['enter']],
    ['an unknown flag', ['entry', '--setings', SETTINGS]],
    ['no settings', ['entry']],
    [
      'a settings file that does not exist',
      ['entry', '--settings', '/nowhere.ini'],
    ],
  ])('should reject %s with exit code 2 and a reason', (_, args) => {
    const {status, out} = run(...args);
    expect(status).toBe(2);
    expect(out.trim()).not.toBe('');
  });

  it('should check settings without starting the role', () => {
    const good = run('entry', '--settings', SETTINGS, '--check-settings');
    expect(good.status).toBe(0);
    const bad = run('agent', '--settings', SETTINGS, '--check-settings');
    expect(bad.status).toBe(2);
    expect(bad.out).toContain('callers');
  });
});
