/** Free loopback ports for processes that must know them before they start. */
import {AddressInfo, createServer, Server} from 'node:net';

const LOOPBACK = '127.0.0.1';

/** Ports that stay taken until they are handed over. */
export interface PortReservation {
  readonly ports: readonly number[];
  /** Frees the ports, so that a process can listen on them at once. */
  release(): Promise<void>;
}

/**
 * Takes free ports that the system chooses.
 * @param count - How many.
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
 * Writes a loopback address.
 * @param port - The port.
 * @returns IP number and port.
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
