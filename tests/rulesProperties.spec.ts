import fc from 'fast-check';
import {parseRules} from '../src/rules/parseRules';
import {printRules} from '../src/rules/printRules';
import {canonicalPath} from '../src/rules/requestPath';
import {RuleIndex} from '../src/rules/ruleIndex';
import type {RuleSet} from '../src/rules/rule';

const RUNS = {seed: 5, numRuns: 400};
const POOLS = ['planner', 'ledger'] as const;
const CUSTOMERS = ['harbour', 'depot', 'constructor', 'a.b_c-1'] as const;

const pool = fc.constantFrom(...POOLS);
const customer = fc.constantFrom(...CUSTOMERS);
const integer = (low: number, high: number) =>
  fc.integer({min: low, max: high}).map(String);
const duration = fc
  .tuple(fc.integer({min: 1000, max: 59_000}), fc.constantFrom('ms'))
  .map(([n, unit]) => `${n}${unit}`);
const path = fc.constantFrom('/', '/v1/', '/assign', '/a/b.c', '/x=1');
const requester = fc.constantFrom(
  'Una',
  'Aoife Byrne, ticket 4',
  'Élodie (quay)'
);

function option(
  key: string,
  value: fc.Arbitrary<string>
): fc.Arbitrary<string> {
  return fc.option(value, {nil: ''}).map(v => (v === '' ? '' : ` ${key}=${v}`));
}

/** Lines that are valid by themselves, by kind of rule. */
const limit = fc
  .tuple(
    pool,
    option('timeout', duration),
    option('attempts', integer(1, 10)),
    option('retry-budget', fc.constantFrom('0%', '12.5%', '100%'))
  )
  .map(parts => ['limit ', ...parts].join(''));
const warmup = fc
  .tuple(pool, integer(1, 5), integer(5, 99), duration)
  .map(([p, a, b, t]) => `warmup ${p} start=${a} full=${b} over=${t}`);
const route = fc
  .tuple(customer, path, pool, option('weight', integer(1, 1000)))
  .map(([c, at, p, w]) => `route customer=${c} path=${at} pool=${p}${w}`);
const zone = fc
  .tuple(fc.constantFrom('zone-a', 'zone-b'), fc.constantFrom('in', 'out'))
  .map(parts => `zone ${parts.join(' ')}`);
const once = fc
  .tuple(path, fc.constantFrom('required', 'optional'))
  .map(([at, key]) => `once POST ${at} key=${key}`);

/** The part of a line that may occur only once in a file. */
function uniqueKey(line: string): string {
  return line.replace(
    / (weight|key|in$|out$|start|timeout|attempts|retry).*/,
    ''
  );
}

const validFile = fc
  .tuple(
    fc.uniqueArray(fc.oneof(limit, warmup, route, zone, once), {
      selector: uniqueKey,
      maxLength: 25,
    }),
    requester,
    fc.constantFrom('', '\n', '# a remark\n\n')
  )
  .map(([lines, name, gap]) => {
    const all = [
      'revision 3',
      ...POOLS.map(p => `pool ${p} engine`),
      ...CUSTOMERS.map(c => `customer ${c} share=2`),
      ...lines,
    ];
    return all.map(line => `${line} # asked by ${name}\n`).join(gap);
  });

/** Any text, sequences of tokens, and valid files damaged at one position. */
const anyFile = fc.oneof(
  fc.string({unit: 'binary', maxLength: 300}),
  fc
    .array(
      fc.oneof(
        fc.constantFrom(
          'route',
          'customer=',
          'limit',
          '#',
          '"',
          "'",
          '\\',
          '$'
        ),
        fc.constantFrom('${', '*', '\n', ' ', '=', '__proto__', 'zone', 'a'),
        fc.string({maxLength: 3})
      ),
      {maxLength: 40}
    )
    .map(parts => parts.join('')),
  fc
    .tuple(validFile, fc.nat(), fc.string({unit: 'binary', maxLength: 3}))
    .map(([text, at, junk]) => {
      const position = at % (text.length + 1);
      return text.slice(0, position) + junk + text.slice(position + 1);
    })
);

function parseValid(text: string): RuleSet {
  const result = parseRules(text);
  if (!result.ok) throw new Error(JSON.stringify(result.problems));
  return result.ruleSet;
}

describe('any rule file', () => {
  it('should be accepted, or rejected with positions, and never throw', () => {
    fc.assert(
      fc.property(anyFile, text => {
        const result = parseRules(text);
        if (result.ok) return;
        const lines = text.split('\n');
        expect(result.problems.length).toBeGreaterThan(0);
        for (const {line, column, reason} of result.problems) {
          expect(reason).not.toBe('');
          expect(line).toBeLessThanOrEqual(lines.length);
          const length = lines[line - 1]?.length ?? 0;
          expect(column).toBeGreaterThanOrEqual(1);
          expect(column).toBeLessThanOrEqual(length + 1);
        }
      }),
      {...RUNS, numRuns: 1500}
    );
  });

  it('should be parsed to the same rules after printing', () => {
    fc.assert(
      fc.property(validFile, text => {
        const first = parseValid(text);
        const again = parseValid(printRules(first));
        expect(again.rules).toEqual(first.rules);
        expect(printRules(again)).toBe(printRules(first));
      }),
      RUNS
    );
  });

  // With a previous file only changed lines are parsed. A line that is valid by
  // itself may conflict with a reused one; if that were missed, an entry would
  // apply rules that other processes don't have.
  it('should be parsed to the same result with and without a previous file', () => {
    fc.assert(
      fc.property(validFile, anyFile, validFile, (before, any, good) => {
        const previous = parseValid(before);
        const mixed = before.replace('revision 3', 'revision 4') + any;
        for (const text of [any, good, mixed])
          expect(parseRules(text, previous)).toEqual(parseRules(text));
      }),
      RUNS
    );
  });
});

describe('a path in any spelling', () => {
  const segment = fc.constantFrom('assign', 'a', 'b.c', '~x');
  const canonical = fc
    .array(segment, {minLength: 1, maxLength: 4})
    .map(parts => `/${parts.join('/')}`);

  /** Returns another spelling of a path; targets treat both alike. */
  function respell(text: string, choices: readonly number[]): string {
    const parts = text.slice(1).split('/');
    return parts
      .map((part, index) => {
        const escaped = [...part]
          .map(c => `%${c.charCodeAt(0).toString(16)}`)
          .join('');
        const spellings = [
          part,
          escaped,
          `./${part}`,
          `/${part}`,
          `q/../${part}`,
        ];
        return `/${spellings[(choices[index] ?? 0) % spellings.length] ?? part}`;
      })
      .join('')
      .concat((choices[0] ?? 0) % 2 === 0 ? '' : '?box=1/../x');
  }

  // Guards against assigning one box to a plug twice: a caller spells the path
  // with an escape, the entry finds no `once` rule for it, treats the call as
  // idempotent and retries it after a lost response. The target treats both
  // spellings alike.
  it('should match the same rule as its canonical spelling', () => {
    const index = new RuleIndex(
      parseValid(`revision 1 # asked by Una
pool ledger service # asked by Una
customer harbour share=1 # asked by Una
route customer=any path=/ pool=ledger # asked by Una
once POST /assign key=required # asked by Una
`)
    );
    fc.assert(
      fc.property(canonical, fc.array(fc.nat(9)), (text, choices) => {
        const spelled = respell(text, choices);
        expect(canonicalPath(spelled)).toBe(text);
        expect(index.onceRule('POST', spelled)).toBe(
          index.onceRule('POST', text)
        );
      }),
      RUNS
    );
    expect(index.onceRule('POST', '//%61ssign?x')).toBeDefined();
  });
});
