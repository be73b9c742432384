/**
 * Normalizes request paths, so that an unusual spelling cannot bypass a rule.
 */

/**
 * Paths that are canonical already: no "%", empty or dot segments, query or
 * fragment.
 */
const CANONICAL_PATH = /^(\/[A-Za-z0-9_~!@:+,=-][A-Za-z0-9._~!@:+,=-]*)*\/?$/;

function decodePath(path: string): string {
  try {
    return decodeURIComponent(path);
  } catch {
    return path;
  }
}

function resolveSegments(path: string): string {
  const kept: string[] = [];
  const segments = path.split('/').slice(1);
  for (const segment of segments) {
    if (segment === '' || segment === '.') continue;
    if (segment === '..') kept.pop();
    else kept.push(segment);
  }
  const last = segments.at(-1);
  const endsInSlash = last === '' || last === '.' || last === '..';
  return `/${kept.join('/')}${endsInSlash && kept.length > 0 ? '/' : ''}`;
}

/**
 * Returns the path of a request target in the form that rules are matched with:
 * no query, percent-encoding decoded, empty and dot segments resolved. Targets
 * treat `/%61ssign` and `//assign` as `/assign`. Without normalization those
 * would miss the `once` rule for `/assign` and be retried, which assigns twice.
 */
export function canonicalPath(requestTarget: string): string {
  if (CANONICAL_PATH.test(requestTarget)) return requestTarget || '/';
  const origin = /^[a-z][a-z0-9+.-]*:\/\/[^/?#]*/i.exec(requestTarget);
  const withoutOrigin = requestTarget.slice(origin?.[0].length ?? 0);
  const withoutQuery = withoutOrigin.replace(/[?#].*$/s, '');
  const rooted = withoutQuery.startsWith('/')
    ? withoutQuery
    : `/${withoutQuery}`;
  return resolveSegments(decodePath(rooted).replaceAll('\\', '/'));
}
