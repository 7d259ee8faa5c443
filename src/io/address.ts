/** Parses and checks addresses of the settings file: `host:port` or `[IPv6]:port`. */
import ipaddr from 'ipaddr.js';

export interface HostPort {
  host: string;
  port: number;
}

const MAX_PORT = 65_535;
const HOST_NAME = /^[a-z0-9]([a-z0-9-]*[a-z0-9])?(\.[a-z0-9]([a-z0-9-]*[a-z0-9])?)*$/i;
/** Address ranges that do not denote a single host. */
const NON_HOST_RANGES: ReadonlySet<string> = new Set(['multicast', 'broadcast']);

/** Splits an address that is known to be well formed. */
export function parseHostPort(address: string): HostPort {
  const separator = address.lastIndexOf(':');
  const host = address.slice(0, separator).replace(/^\[(.*)\]$/, '$1');
  return { host, port: Number(address.slice(separator + 1)) };
}

/** What is wrong with an address, as a message for operators; null if it is valid. */
export function addressProblem(address: string): string | null {
  const parts = /^(\[[^\]]*\]|[^:\s]+):(\d+)$/.exec(address);
  if (!parts) return `expected host:port, found "${address}"`;
  const { host, port } = parseHostPort(address);
  if (port > MAX_PORT) return `expected a port of at most ${MAX_PORT}, found ${port}`;
  if (ipaddr.isValid(host)) return rangeProblem(host);
  const looksNumeric = /^[\d.]+$/.test(host) || parts[1]!.startsWith('[');
  if (!looksNumeric && HOST_NAME.test(host)) return null;
  return `expected an IP address or a host name, found "${host}"`;
}

function rangeProblem(host: string): string | null {
  const range = ipaddr.parse(host).range();
  return NON_HOST_RANGES.has(range) ? `expected the address of one host, found ${host} (${range})` : null;
}
