/** Addresses of targets, as HOST:PORT. */

const MAX_PORT = 65_535;
const PORT = /^\d{1,5}$/;

/** Host and port of an address. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/** Undefined for a text without a host, or without a port that exists. */
export function parseHostPort(text: string): HostPort | undefined {
  const [host = '', portText = '', ...rest] = text.split(':');
  const port = Number(portText);
  const isValid =
    rest.length === 0 &&
    host !== '' &&
    PORT.test(portText) &&
    port >= 1 &&
    port <= MAX_PORT;
  return isValid ? {host, port} : undefined;
}
