/** Parses and formats the `IP:port` addresses of settings and messages. */
import {AddressInfo} from 'node:net';

export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/**
 * Parses an address that its schema has already validated.
 * @param address - `IP:port`, with an IPv6 address in brackets.
 * @returns The host, without brackets, and the port.
 */
export function parseAddress(address: string): HostAndPort {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return {host, port: Number(address.slice(colon + 1))};
}

/**
 * Formats the address on which a server listens.
 * @param info - The result of `server.address()`.
 * @returns `IP:port`, with an IPv6 address in brackets.
 */
export function formatAddress(info: AddressInfo): string {
  return info.family === 'IPv6'
    ? `[${info.address}]:${info.port}`
    : `${info.address}:${info.port}`;
}
