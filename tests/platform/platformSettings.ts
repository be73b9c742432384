/** Settings of a node as the platform fills in the template of `deploy/`. */

import {readFileSync} from 'node:fs';
import path from 'node:path';

const TEMPLATE = path.join(__dirname, '..', '..', 'deploy', 'node.ini');

/** What the platform tells a process, by the names of its page. */
export const PAGE_EXAMPLE = {
  node: 'front-ie-south-a-1',
  zone: 'ie-south-a',
  ip: '10.1.0.40',
  'listen.front': '10.1.0.40:8227',
  'listen.ready': '10.1.0.40:8220',
  'listen.control': '10.1.0.40:8229',
  'internalPorts.0': '7340',
  seeds: '10.1.0.40:8229,10.2.0.29:8229,10.3.0.19:8229',
  bootstrap: 'true',
  dataDir: '/data/my-front',
  heartbeatMs: '1200',
  'faultTolerance.machines': '1',
  'bounds.graceS': '8',
  'bounds.retryBudgetRatio': '0.2',
  'bounds.retryWindowS': '10',
  'bounds.retrySlack': '96',
  'bounds.coldMultiplier': '1.5',
  'bounds.coldSlack': '5',
};

/** Fills in the template; a name that the page lacks is nothing. */
export function renderSettings(
  values: Readonly<Record<string, string>>
): string {
  const template = readFileSync(TEMPLATE, 'utf8');
  return template.replace(
    /\{\{([^}]+)\}\}/g,
    (_, name: string) => values[name] ?? ''
  );
}
