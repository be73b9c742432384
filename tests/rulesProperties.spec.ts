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
const whole = (low: number, high: number) =>
  fc.integer({min: low, max: high}).map(String);
const time = fc
  .tuple(fc.integer({min: 1000, max: 59_000}), fc.constantFrom('ms'))
  .map(([n, unit]) => `${n}${unit}`);
const path = fc.constantFrom('/', '/v1/', '/assign', '/a/b.c', '/x=1');
const who = fc.constantFrom('Una', 'Aoife Byrne, ticket 4', 'Élodie (quay)');

function option(
  key: string,
  value: fc.Arbitrary<string>
): fc.Arbitrary<string> {
  return fc.option(value, {nil: ''}).map(v => (v === '' ? '' : ` ${key}=${v}`));
}

/** Lines that are good by themselves, by what they may be only once for. */
const limit = fc
  .tuple(
    pool,
    option('timeout', time),
    option('attempts', whole(1, 10)),
    option('retry-budget', fc.constantFrom('0%', '12.5%', '100%'))
  )
  .map(parts => ['limit ', ...parts].join(''));
const warmup = fc
  .tuple(pool, whole(1, 5), whole(5, 99), time)
  .map(([p, a, b, t]) => `warmup ${p} start=${a} full=${b} over=${t}`);
const route = fc
  .tuple(customer, path, pool, option('weight', whole(1, 1000)))
  .map(([c, at, p, w]) => `route customer=${c} path=${at} pool=${p}${w}`);
const zone = fc
  .tuple(fc.constantFrom('zone-a', 'zone-b'), fc.constantFrom('in', 'out'))
  .map(parts => `zone ${parts.join(' ')}`);
const once = fc
  .tuple(path, fc.constantFrom('required', 'optional'))
  .map(([at, key]) => `once POST ${at} key=${key}`);

/** What may stand once in a file, without the values that differ. */
function identity(line: string): string {
  return line.replace(
    / (weight|key|in$|out$|start|timeout|attempts|retry).*/,
    ''
  );
}

const goodFile = fc
  .tuple(
    fc.uniqueArray(fc.oneof(limit, warmup, route, zone, once), {
      selector: identity,
      maxLength: 25,
    }),
    who,
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

/** Files damaged at one place, or of any text at all. */
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
    .tuple(goodFile, fc.nat(), fc.string({unit: 'binary', maxLength: 3}))
    .map(([text, at, junk]) => {
      const place = at % (text.length + 1);
      return text.slice(0, place) + junk + text.slice(place + 1);
    })
);

function accepted(text: string): RuleSet {
  const result = parseRules(text);
  if (!result.ok) throw new Error(JSON.stringify(result.problems));
  return result.ruleSet;
}

describe('any rule file', () => {
  it('should be read or refused with places, and never throw', () => {
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

  it('should read its printing as the same rules', () => {
    fc.assert(
      fc.property(goodFile, text => {
        const first = accepted(text);
        const again = accepted(printRules(first));
        expect(again.rules).toEqual(first.rules);
        expect(printRules(again)).toBe(printRules(first));
      }),
      RUNS
    );
  });

  // An entry that reads only the changed lines would otherwise act by rules
  // that other processes don't have: a line that is good by itself may clash
  // with one taken over from the file before.
  it('should come out the same with and without the file before', () => {
    fc.assert(
      fc.property(goodFile, anyFile, goodFile, (before, any, good) => {
        const previous = accepted(before);
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
  const plain = fc
    .array(segment, {minLength: 1, maxLength: 4})
    .map(parts => `/${parts.join('/')}`);

  /** The same path written otherwise; a target reads it as before. */
  function respell(text: string, choices: readonly number[]): string {
    const parts = text.slice(1).split('/');
    return parts
      .map((part, index) => {
        const escaped = [...part]
          .map(c => `%${c.charCodeAt(0).toString(16)}`)
          .join('');
        const ways = [part, escaped, `./${part}`, `/${part}`, `q/../${part}`];
        return `/${ways[(choices[index] ?? 0) % ways.length] ?? part}`;
      })
      .join('')
      .concat((choices[0] ?? 0) % 2 === 0 ? '' : '?box=1/../x');
  }

  // One box is assigned to a plug twice: a caller spells the path with an
  // escape, the entry finds no rule for it, takes the call for idempotent and
  // sends it again after a lost answer. The target reads both alike.
  it('should meet the rule that its plain spelling meets', () => {
    const index = new RuleIndex(
      accepted(`revision 1 # asked by Una
pool ledger service # asked by Una
customer harbour share=1 # asked by Una
route customer=any path=/ pool=ledger # asked by Una
once POST /assign key=required # asked by Una
`)
    );
    fc.assert(
      fc.property(plain, fc.array(fc.nat(9)), (text, choices) => {
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
