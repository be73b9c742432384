/** Evaluates the rules for a request and shows the rule lines that decide. */

import {REFUSALS} from '../core/refusal';
import type {RefusalReason} from '../core/refusal';
import type {Announcement} from '../core/wire';
import {printDuration} from '../rules/fieldSchemas';
import {printRuleWords} from '../rules/printRules';
import {canonicalPath} from '../rules/requestPath';
import type {Rule} from '../rules/rule';
import type {RouteCandidate, RuleIndex} from '../rules/ruleIndex';

/** A request to explain. */
export interface ExplainQuery {
  readonly customer: string;
  readonly method: string;
  readonly path: string;
}

/**
 * The explanation as lines of text, and the refusal that the request would get,
 * if any.
 */
export interface Explanation {
  readonly lines: readonly string[];
  readonly refusal?: RefusalReason;
}

/** Why a target is not eligible for new requests; undefined if it is. */
export function ineligibleReason(
  target: Announcement,
  index: RuleIndex
): RefusalReason | undefined {
  if (target.state === 'leaving') return 'target-leaving';
  if (index.isZoneOut(target.availabilityZone)) return 'zone-out';
  if (target.temperature === 'cold' && target.limit === 0) return 'target-cold';
  return undefined;
}

function ruleText(rule: Rule): string {
  return `line ${rule.line}: ${printRuleWords(rule)} (asked by ${rule.askedBy})`;
}

function refusalText(reason: RefusalReason): string {
  const {status, outcome, meaning} = REFUSALS[reason];
  return `refused: ${reason} (${status}, ${outcome}): ${meaning}`;
}

function targetLine(target: Announcement, index: RuleIndex): string {
  const reason = ineligibleReason(target, index);
  const verdict = reason === undefined ? 'may take it' : `may not: ${reason}`;
  const {targetId, availabilityZone, temperature, outstanding, limit} = target;
  return `    ${targetId} in ${availabilityZone}: ${verdict} (${temperature}, ${outstanding} of ${limit} in work, ${target.queued} queued)`;
}

function limitLine(pool: string, index: RuleIndex): string {
  const limit = index.limit(pool);
  const firstToken =
    limit.firstTokenMs === undefined
      ? ''
      : `, first token within ${printDuration(limit.firstTokenMs)}`;
  return `    answered within ${printDuration(limit.timeoutMs)}${firstToken}, at most ${limit.attempts} attempts, retries for ${limit.retryBudgetPercent}% of requests`;
}

/** Builds the explanation of one request. */
class Explainer {
  private readonly lines: string[] = [];

  constructor(
    private readonly index: RuleIndex,
    private readonly targets: readonly Announcement[] | undefined,
    private readonly query: ExplainQuery
  ) {}

  explain(): Explanation {
    const {customer, path} = this.query;
    this.lines.push(`by revision ${this.index.revision}`);
    if (canonicalPath(path) !== path)
      this.lines.push(`path read as ${canonicalPath(path)}`);
    const rule = this.index.customerRule(customer);
    if (rule === undefined) return this.refused('unknown-customer');
    this.lines.push(`customer by ${ruleText(rule)}`);
    this.explainIdempotency();
    const candidates = this.index.routes(customer, path);
    if (candidates.length === 0) return this.refused('no-route');
    const eligible = candidates.filter(item => this.explainPool(item));
    if (this.targets !== undefined && eligible.length === 0)
      return this.refused('no-target');
    return {lines: this.lines};
  }

  private refused(reason: RefusalReason): Explanation {
    this.lines.push(refusalText(reason));
    return {lines: this.lines, refusal: reason};
  }

  private explainIdempotency(): void {
    const rule = this.index.onceRule(this.query.method, this.query.path);
    if (rule === undefined) {
      this.lines.push(`${this.query.method} is idempotent here: retried`);
      return;
    }
    this.lines.push(`not idempotent by ${ruleText(rule)}`);
    const withoutKey =
      rule.key === 'required'
        ? refusalText('key-required')
        : 'sent once; a resend by the caller may run again';
    this.lines.push(
      '    with an Idempotency-Key: runs at most once, resends get its answer',
      `    without: ${withoutKey}`
    );
  }

  /**
   * Explains one candidate pool; returns whether any of its targets is
   * eligible.
   */
  private explainPool(candidate: RouteCandidate): boolean {
    const {pool, weight, line} = candidate;
    const rule = this.index.ruleSet.rules.find(item => item.line === line);
    const ruleLabel = rule === undefined ? `line ${line}` : ruleText(rule);
    this.lines.push(`to pool ${pool}, weight ${weight}, by ${ruleLabel}`);
    this.lines.push(limitLine(pool, this.index));
    if (this.targets === undefined) return true;
    const poolTargets = this.targets.filter(target => target.pool === pool);
    if (poolTargets.length === 0)
      this.lines.push('    no target has announced itself');
    for (const target of poolTargets)
      this.lines.push(targetLine(target, this.index));
    return poolTargets.some(
      target => ineligibleReason(target, this.index) === undefined
    );
  }
}

/** Explains a request; without `targets`, by the rules alone. */
export function explainRequest(
  index: RuleIndex,
  targets: readonly Announcement[] | undefined,
  query: ExplainQuery
): Explanation {
  return new Explainer(index, targets, query).explain();
}
