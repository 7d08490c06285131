/** Splits and joins the `IP:port` form that settings and messages use. */
import {AddressInfo} from 'node:net';

export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/**
 * Splits an address that has been checked by its schema.
 * @param address - `IP:port`, with an IPv6 number in brackets.
 * @returns Host without brackets, and port.
 */
export function parseAddress(address: string): HostAndPort {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return {host, port: Number(address.slice(colon + 1))};
}

/**
 * Formats the address on which a server listens.
 * @param info - What the server reports.
 * @returns `IP:port`.
 */
export function formatAddress(info: AddressInfo): string {
  return info.family === 'IPv6'
    ? `[${info.address}]:${info.port}`
    : `${info.address}:${info.port}`;
}
