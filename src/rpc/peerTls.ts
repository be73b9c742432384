/**
 * How our processes prove themselves to each other: TLS with a pre-shared
 * key. Both ends show that they hold the key of the settings without sending
 * it, and the traffic is encrypted; no certificates need to be issued.
 *
 * The client names its key beside its identity, since a server can try only
 * one. While a key is replaced a server accepts the old and the new one.
 */

import {createHash} from 'node:crypto';
import type {ConnectionOptions, TlsOptions, TLSSocket} from 'node:tls';
import {keyName} from '../core/keyName';

/** Keeps forward secrecy: a key that leaks later opens no recorded traffic. */
const CIPHER = 'ECDHE-PSK-CHACHA20-POLY1305';

const COMMON = {
  ciphers: CIPHER,
  minVersion: 'TLSv1.2',
  maxVersion: 'TLSv1.2',
} as const;

/** Between the id of the process and the name of its key; no id holds one. */
const KEY_MARK = '#';

const identities = new WeakMap<TLSSocket, string>();

function deriveKey(secret: string): Buffer {
  return createHash('sha256').update(secret).digest();
}

/**
 * Options for a server that only holders of `secret`, or of `acceptSecret`
 * while one replaces the other, can speak to.
 */
export function serverTls(secret: string, acceptSecret?: string): TlsOptions {
  const own = deriveKey(secret);
  const pskByName = new Map([[keyName(secret), own]]);
  if (acceptSecret !== undefined)
    pskByName.set(keyName(acceptSecret), deriveKey(acceptSecret));
  return {
    ...COMMON,
    pskCallback: (socket, identity) => {
      const [id = '', name = ''] = identity.split(KEY_MARK);
      identities.set(socket, id);
      // Under a name that is not known here the handshake fails by the key.
      return pskByName.get(name) ?? own;
    },
  };
}

/** Options for a connection under the name `identity`. */
export function clientTls(secret: string, identity: string): ConnectionOptions {
  const psk = deriveKey(secret);
  const named = `${identity}${KEY_MARK}${keyName(secret)}`;
  return {
    ...COMMON,
    pskCallback: () => ({psk, identity: named}),
    // There is no certificate; holding the key is the proof.
    checkServerIdentity: () => undefined,
  };
}

/** The process id that the peer gave when it proved the key. */
export function peerIdentity(socket: object): string {
  return identities.get(socket as TLSSocket) ?? 'unknown';
}
