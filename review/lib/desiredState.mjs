/** A desired state like that of a small installation: one service, one tenant. */

export const HOST = 'plugs.example';
export const KEY = 'n2ctnfzs989anu6wsjnb';
export const TENANT = 'hule930';
export const SERVICE = 'alloc-app';

const ROUTE = {
  host: HOST,
  timeoutMs: 8_000,
  targetLatencyMs: 500,
  priority: 2,
  service: SERVICE,
  maxAttempts: 1,
  authExempt: false,
  sessionAffinity: false,
};

/** The document with these routes; each gives what differs from a plain one. */
export function desiredState(routes, version = 1) {
  return JSON.stringify({
    version,
    routes: routes.map(route => ({...ROUTE, ...route})),
    services: [
      {
        name: SERVICE,
        healthPath: '/health',
        maxConnections: 120,
        protocol: 'h1',
        tls: false,
        coldStartS: 0,
        coldPerS: 0,
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{name: TENANT, apiKeys: [KEY], priority: 1}],
  });
}

/** Head of a request of the tenant, without its framing. */
export function requestHead(method, url, attemptId, deadlineMs = 5_000) {
  return [
    `${method} ${url} HTTP/1.1`,
    `Host: ${HOST}`,
    `X-Attempt-Id: ${attemptId}`,
    `X-Deadline-Remaining: ${deadlineMs}`,
    `Authorization: Bearer ${KEY}`,
  ].join('\r\n');
}
