/**
 * Mutual authentication and encryption between our processes by TLS with a
 * pre-shared key (PSK), which is derived from the secret in the settings. Both
 * sides prove that they have the key without sending it, and no certificates
 * need to be issued.
 *
 * A server can try only one key in a handshake, so the client sends the name of
 * its key with its identity. While the secret is being replaced, a server
 * accepts the old and the new key.
 */

import {createHash} from 'node:crypto';
import type {ConnectionOptions, TlsOptions, TLSSocket} from 'node:tls';
import {keyName} from '../core/keyName';

/** Forward secret: a key that leaks later can't decrypt recorded traffic. */
const PSK_CIPHER = 'ECDHE-PSK-CHACHA20-POLY1305';

const COMMON_TLS_OPTIONS = {
  ciphers: PSK_CIPHER,
  minVersion: 'TLSv1.2',
  maxVersion: 'TLSv1.2',
} as const;

/** Separates process id and key name in a PSK identity; not allowed in ids. */
const KEY_NAME_SEPARATOR = '#';

const processIds = new WeakMap<TLSSocket, string>();

function derivePsk(secret: string): Buffer {
  return createHash('sha256').update(secret).digest();
}

/**
 * Options for a server that accepts clients with `secret`, and with
 * `acceptSecret` while the secret is being replaced.
 */
export function serverTls(secret: string, acceptSecret?: string): TlsOptions {
  const ownPsk = derivePsk(secret);
  const pskByName = new Map([[keyName(secret), ownPsk]]);
  if (acceptSecret !== undefined)
    pskByName.set(keyName(acceptSecret), derivePsk(acceptSecret));
  return {
    ...COMMON_TLS_OPTIONS,
    pskCallback: (socket, identity) => {
      const [id = '', name = ''] = identity.split(KEY_NAME_SEPARATOR);
      processIds.set(socket, id);
      // A client with an unknown key name lacks this key: the handshake fails.
      return pskByName.get(name) ?? ownPsk;
    },
  };
}

/** Options for a connection that authenticates as `identity`. */
export function clientTls(secret: string, identity: string): ConnectionOptions {
  const psk = derivePsk(secret);
  const pskIdentity = `${identity}${KEY_NAME_SEPARATOR}${keyName(secret)}`;
  return {
    ...COMMON_TLS_OPTIONS,
    pskCallback: () => ({psk, identity: pskIdentity}),
    // There is no certificate to check; the server proves itself by the key.
    checkServerIdentity: () => undefined,
  };
}

/** The process id that the peer sent in its TLS handshake. */
export function peerIdentity(socket: object): string {
  return processIds.get(socket as TLSSocket) ?? 'unknown';
}
