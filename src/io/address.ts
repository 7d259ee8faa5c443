/** Addresses as the settings write them: `host:port`, `[IPv6]:port`. */
import ipaddr from 'ipaddr.js';

export interface HostPort {
  host: string;
  port: number;
}

const HIGHEST_PORT = 65_535;
const HOST_NAME = /^[a-z0-9]([a-z0-9-]*[a-z0-9])?(\.[a-z0-9]([a-z0-9-]*[a-z0-9])?)*$/i;
/** Ranges of addresses that name no single host. */
const NO_HOST: ReadonlySet<string> = new Set(['multicast', 'broadcast']);

/** Cuts an address that is known to be well formed. */
export function parseHostPort(address: string): HostPort {
  const cut = address.lastIndexOf(':');
  const host = address.slice(0, cut).replace(/^\[(.*)\]$/, '$1');
  return { host, port: Number(address.slice(cut + 1)) };
}

/** What is wrong with an address, in words for an operator; null when nothing is. */
export function addressProblem(address: string): string | null {
  const parts = /^(\[[^\]]*\]|[^:\s]+):(\d+)$/.exec(address);
  if (!parts) return `expected host:port, found "${address}"`;
  const { host, port } = parseHostPort(address);
  if (port > HIGHEST_PORT) return `expected a port of at most ${HIGHEST_PORT}, found ${port}`;
  if (ipaddr.isValid(host)) return rangeProblem(host);
  const looksNumeric = /^[\d.]+$/.test(host) || parts[1]!.startsWith('[');
  if (!looksNumeric && HOST_NAME.test(host)) return null;
  return `expected an IP address or a host name, found "${host}"`;
}

function rangeProblem(host: string): string | null {
  const range = ipaddr.parse(host).range();
  return NO_HOST.has(range) ? `expected the address of one host, found ${host} (${range})` : null;
}
