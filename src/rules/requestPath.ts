/** One spelling for each request path, so that rules cannot be sidestepped. */

/** Paths without "%", empty or dot segments, a query or a fragment. */
const PLAIN = /^(\/[A-Za-z0-9_~!@:+,=-][A-Za-z0-9._~!@:+,=-]*)*\/?$/;

function decode(path: string): string {
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
  const slash = last === '' || last === '.' || last === '..';
  return `/${kept.join('/')}${slash && kept.length > 0 ? '/' : ''}`;
}

/**
 * The path of a request target as rules see it: no query, percent signs
 * decoded, empty and dot segments resolved. A target reads `/%61ssign` and
 * `//assign` as `/assign`; matched as spelled they would miss the `once` rule
 * and be retried, which assigns twice.
 */
export function canonicalPath(requestTarget: string): string {
  if (PLAIN.test(requestTarget)) return requestTarget || '/';
  const absolute = /^[a-z][a-z0-9+.-]*:\/\/[^/?#]*/i.exec(requestTarget);
  const local = requestTarget.slice(absolute?.[0].length ?? 0);
  const withoutQuery = local.replace(/[?#].*$/s, '');
  const rooted = withoutQuery.startsWith('/')
    ? withoutQuery
    : `/${withoutQuery}`;
  return resolveSegments(decode(rooted).replaceAll('\\', '/'));
}
