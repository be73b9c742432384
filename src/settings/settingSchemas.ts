/**
 * Schemas of values that only settings have, and the meanings of their keys.
 */

import {isIP} from 'node:net';
import type {z} from 'zod';
import {name, textSchema, within} from '../core/textSchemas';

/** Maximum number of control instances in a deployment. */
const MAX_INSTANCES = 23;
const MAX_PORT = 65_535;
const MIN_SECRET_CHARS = 16;
const INSTANCE_ADDRESS = /^([^@\s]+)@(?:\[([^\]]+)\]|([^:\s]+)):(\d{1,5})$/;
const HOST_PORT = /^(?:\[([^\]]+)\]|([^:\s]+)):(\d{1,5})$/;
const HEADER_NAME = /^[A-Za-z0-9!#$%&'*+.^_`|~-]{1,64}$/;
const INSTANCE_ID = name();

/** Id and address of a control instance. */
export interface InstanceAddress {
  readonly id: string;
  readonly host: string;
  readonly port: number;
}

/**
 * Attaches the meaning of a key, which is shown in the operator documentation.
 */
export function setting<S extends z.ZodType>(schema: S, meaning: string): S {
  return schema.meta({meaning});
}

/** Returns the meaning that `setting` attached. */
export function meaningOf(schema: z.ZodType): string {
  return String(schema.meta()?.meaning ?? '');
}

/** An IP address that other processes can connect to. */
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

/** A port to listen on; for 0 the kernel chooses one. */
export function anyPort() {
  return textSchema(`a port from 0 to ${MAX_PORT}; 0 takes a free one`, text =>
    readPort(text, 0)
  );
}

/** A port that other processes are configured with, so not 0. */
export function fixedPort() {
  return textSchema(`a port from 1 to ${MAX_PORT}`, text => readPort(text, 1));
}

/** The secret shared by all processes of a deployment. */
export function secret() {
  return textSchema(`a text of ${MIN_SECRET_CHARS} characters or more`, text =>
    text.length >= MIN_SECRET_CHARS ? text : undefined
  );
}

/** Path of a file or folder, relative to the settings file. */
export function filePath() {
  return textSchema('a path, relative to the settings file', text =>
    text.length > 0 ? text : undefined
  );
}

/** Name of an HTTP header, converted to lower case as in Node's headers. */
export function headerName() {
  return textSchema('the name of an HTTP header', text =>
    HEADER_NAME.test(text) ? text.toLowerCase() : undefined
  );
}

function readInstance(text: string): InstanceAddress | undefined {
  const [, id = '', ipv6, ipv4, portText = ''] =
    INSTANCE_ADDRESS.exec(text) ?? [];
  const host = ipv6 ?? ipv4 ?? '';
  const port = readPort(portText, 1);
  if (!INSTANCE_ID.safeParse(id).success) return undefined;
  if (isIP(host) === 0 || port === undefined) return undefined;
  return {id, host, port};
}

function allDistinct(instances: readonly InstanceAddress[]): boolean {
  const ids = new Set(instances.map(item => item.id));
  const addresses = new Set(instances.map(item => `${item.host} ${item.port}`));
  return ids.size === instances.length && addresses.size === instances.length;
}

/** All control instances, separated by commas. */
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

/** IP address and port to listen on. */
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

/** IP address and port to listen on. */
export function hostPort() {
  return textSchema('IP:PORT, or [IPV6]:PORT', readHostPort);
}

/** IP addresses of other nodes; ports after them are ignored. */
export function ipAddressList() {
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

/** A number with an optional fraction. */
export function decimal(low: number, high: number) {
  return textSchema(`a number from ${low} to ${high}`, text =>
    /^\d{1,9}(\.\d{1,9})?$/.test(text)
      ? within(Number(text), low, high)
      : undefined
  );
}
