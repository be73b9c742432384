/**
 * How our processes prove themselves to each other: TLS with a pre-shared
 * key. Both ends show that they hold the key of the settings without sending
 * it, and the traffic is encrypted; no certificates need to be issued.
 */

import {createHash} from 'node:crypto';
import type {ConnectionOptions, TlsOptions, TLSSocket} from 'node:tls';

/** Keeps forward secrecy: a key that leaks later opens no recorded traffic. */
const CIPHER = 'ECDHE-PSK-CHACHA20-POLY1305';

const COMMON = {
  ciphers: CIPHER,
  minVersion: 'TLSv1.2',
  maxVersion: 'TLSv1.2',
} as const;

const identities = new WeakMap<TLSSocket, string>();

function deriveKey(secret: string): Buffer {
  return createHash('sha256').update(secret).digest();
}

/** Options for a server that only holders of `secret` can speak to. */
export function serverTls(secret: string): TlsOptions {
  const psk = deriveKey(secret);
  return {
    ...COMMON,
    pskCallback: (socket, identity) => {
      identities.set(socket, identity);
      return psk;
    },
  };
}

/** Options for a connection under the name `identity`. */
export function clientTls(secret: string, identity: string): ConnectionOptions {
  const psk = deriveKey(secret);
  return {
    ...COMMON,
    pskCallback: () => ({psk, identity}),
    // There is no certificate; holding the key is the proof.
    checkServerIdentity: () => undefined,
  };
}

/** The process id that the peer gave when it proved the key. */
export function peerIdentity(socket: object): string {
  return identities.get(socket as TLSSocket) ?? 'unknown';
}
