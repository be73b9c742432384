/** Rule files for the deployments that the bench and the tests start. */

/** The parts of a rule file that differ between revisions. */
export interface RulesChange {
  readonly revision: number;
  readonly zonesOut?: readonly string[];
  /** Operator named in the file; makes two files of one revision differ. */
  readonly askedBy?: string;
  readonly extra?: readonly string[];
}

const RULES = [
  'pool planner engine',
  'pool allocation service',
  'customer harbour share=4',
  'customer depot share=1',
  'route customer=any path=/v1/ pool=planner',
  'route customer=any path=/ pool=allocation',
  'once POST /assign key=required',
  'warmup planner start=4 full=16 over=2s',
  'warmup allocation start=4 full=16 over=2s',
  'limit planner timeout=10s attempts=3 retry-budget=20%',
];

/** The text of one rule file. */
export function rulesText({
  revision,
  zonesOut = [],
  askedBy = 'Aoife',
  extra = [],
}: RulesChange): string {
  const zones = zonesOut.map(zone => `zone ${zone} out`);
  return [`revision ${revision}`, ...RULES, ...extra, ...zones]
    .map(line => `${line} # asked by ${askedBy}\n`)
    .join('');
}
