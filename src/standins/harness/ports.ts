/** Free loopback ports, for processes that need the number before they start. */
import {AddressInfo, createServer, Server} from 'node:net';

const LOOPBACK = '127.0.0.1';

/** Ports that this process occupies until they are released. */
export interface PortReservation {
  readonly ports: readonly number[];
  /** Releases the ports, so that other processes can listen on them. */
  release(): Promise<void>;
}

/**
 * Reserves ports that the operating system selects.
 * @param count - Number of ports.
 * @returns The reservation.
 */
export async function reservePorts(count: number): Promise<PortReservation> {
  const servers = Array.from({length: count}, () => createServer());
  await Promise.all(servers.map(listenOnFreePort));
  const ports = servers.map(server => (server.address() as AddressInfo).port);
  return {
    ports,
    release: async () => {
      await Promise.all(servers.map(closeTcpServer));
    },
  };
}

/**
 * Formats a loopback address.
 * @param port - The port.
 * @returns The address, as `127.0.0.1:port`.
 */
export function formatLoopbackAddress(port: number): string {
  return `${LOOPBACK}:${port}`;
}

function listenOnFreePort(server: Server): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, LOOPBACK, resolve);
  });
}

function closeTcpServer(server: Server): Promise<unknown> {
  return new Promise(resolve => server.close(resolve));
}
