/** Values that only settings have, and the meaning beside each key. */

import {isIP} from 'node:net';
import type {z} from 'zod';
import {name, textSchema, within} from '../core/textSchemas';

/** Most control instances that a deployment may set aside. */
const MAX_INSTANCES = 23;
const MAX_PORT = 65_535;
const SHORTEST_SECRET = 16;
const ADDRESS = /^([^@\s]+)@(?:\[([^\]]+)\]|([^:\s]+)):(\d{1,5})$/;
const HOST_PORT = /^(?:\[([^\]]+)\]|([^:\s]+)):(\d{1,5})$/;
const TOKEN = /^[A-Za-z0-9!#$%&'*+.^_`|~-]{1,64}$/;
const NAME = name();

/** Where a control instance listens. */
export interface InstanceAddress {
  readonly id: string;
  readonly host: string;
  readonly port: number;
}

/** Attaches what a key is for; shown on the page for operators. */
export function setting<S extends z.ZodType>(schema: S, meaning: string): S {
  return schema.meta({meaning});
}

/** What a key is for, as given to `setting`. */
export function meaningOf(schema: z.ZodType): string {
  return String(schema.meta()?.meaning ?? '');
}

/** An address that other processes can reach. */
export function ipAddress() {
  return textSchema('an IP address of this machine, not 0.0.0.0 or ::', text =>
    isIP(text) > 0 && text !== '0.0.0.0' && text !== '::' ? text : undefined
  );
}

function readPort(text: string, lowest: number): number | undefined {
  return /^\d{1,5}$/.test(text)
    ? within(Number(text), lowest, MAX_PORT)
    : undefined;
}

/** A port; 0 lets the kernel choose. */
export function anyPort() {
  return textSchema(`a port from 0 to ${MAX_PORT}; 0 takes a free one`, text =>
    readPort(text, 0)
  );
}

/** A port that others know beforehand. */
export function fixedPort() {
  return textSchema(`a port from 1 to ${MAX_PORT}`, text => readPort(text, 1));
}

/** A secret that all processes of a deployment share. */
export function secret() {
  return textSchema(`a text of ${SHORTEST_SECRET} characters or more`, text =>
    text.length >= SHORTEST_SECRET ? text : undefined
  );
}

/** A file or folder, relative to the settings file. */
export function filePath() {
  return textSchema('a path, relative to the settings file', text =>
    text.length > 0 ? text : undefined
  );
}

/** Name of an HTTP header, in lower case as Node gives it. */
export function headerName() {
  return textSchema('the name of an HTTP header', text =>
    TOKEN.test(text) ? text.toLowerCase() : undefined
  );
}

function readInstance(text: string): InstanceAddress | undefined {
  const [, id = '', ipv6, ipv4, portText = ''] = ADDRESS.exec(text) ?? [];
  const host = ipv6 ?? ipv4 ?? '';
  const port = readPort(portText, 1);
  if (!NAME.safeParse(id).success) return undefined;
  if (isIP(host) === 0 || port === undefined) return undefined;
  return {id, host, port};
}

function allDistinct(instances: readonly InstanceAddress[]): boolean {
  const ids = new Set(instances.map(item => item.id));
  const places = new Set(instances.map(item => `${item.host} ${item.port}`));
  return ids.size === instances.length && places.size === instances.length;
}

/** The control instances, separated by commas. */
export function instanceList() {
  return textSchema(
    `1 to ${MAX_INSTANCES} different ID@IP:PORT, separated by commas`,
    (text): readonly InstanceAddress[] | undefined => {
      const instances: InstanceAddress[] = [];
      for (const part of text.split(',')) {
        const instance = readInstance(part.trim());
        if (instance === undefined) return undefined;
        instances.push(instance);
      }
      if (instances.length > MAX_INSTANCES || !allDistinct(instances))
        return undefined;
      return instances;
    }
  );
}

/** An address and a port to listen at. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

function readHostPort(text: string): HostPort | undefined {
  const [, ipv6, ipv4, portText = ''] = HOST_PORT.exec(text) ?? [];
  const host = ipv6 ?? ipv4 ?? '';
  const port = readPort(portText, 0);
  return isIP(host) === 0 || port === undefined ? undefined : {host, port};
}

/** An address and a port to listen at. */
export function hostPort() {
  return textSchema('IP:PORT, or [IPV6]:PORT', readHostPort);
}

/** IP addresses of other nodes; a port after one of them is passed over. */
export function addressList() {
  return textSchema(
    'IP addresses separated by commas',
    (text): readonly string[] | undefined => {
      const hosts = text
        .split(',')
        .map(part => part.trim())
        .filter(part => part !== '')
        .map(part => readHostPort(part)?.host ?? part);
      return hosts.every(host => isIP(host) > 0) ? hosts : undefined;
    }
  );
}

/** A number that need not be whole. */
export function decimal(low: number, high: number) {
  return textSchema(`a number from ${low} to ${high}`, text =>
    /^\d{1,9}(\.\d{1,9})?$/.test(text)
      ? within(Number(text), low, high)
      : undefined
  );
}
