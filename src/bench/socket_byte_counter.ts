/** Counts the bytes of a process's control connections, headers included. */
import {subscribe} from 'node:diagnostics_channel';
import {Socket} from 'node:net';

/**
 * Tells whether a connection carries control traffic by its ports: a proxy's
 * peer address on either end, or the platform's address on the far end.
 */
export class SocketByteCounter {
  private readonly openSockets = new Set<Socket>();
  private closedBytes = 0;

  /**
   * Starts to count; connections that are open already are missed.
   * @param controlPorts - Ports of peers and of the platform.
   */
  constructor(private readonly controlPorts: ReadonlySet<number>) {
    subscribe('net.client.socket', message => this.track(message));
    subscribe('net.server.socket', message => this.track(message));
  }

  /** @returns Bytes sent and received so far by all connections. */
  getBytes(): number {
    let bytes = this.closedBytes;
    for (const socket of this.openSockets) {
      bytes += this.isControl(socket) ? countSocketBytes(socket) : 0;
    }
    return bytes;
  }

  private track(message: unknown): void {
    const {socket} = message as {socket: Socket};
    this.openSockets.add(socket);
    // Ports are unknown once a socket is closed, so they are read before.
    let isControl = false;
    const updateIsControl = () => {
      isControl = this.isControl(socket);
    };
    socket.once('connect', updateIsControl);
    updateIsControl();
    socket.once('close', () => {
      this.openSockets.delete(socket);
      this.closedBytes += isControl ? countSocketBytes(socket) : 0;
    });
  }

  private isControl({localPort, remotePort}: Socket): boolean {
    return (
      (localPort !== undefined && this.controlPorts.has(localPort)) ||
      (remotePort !== undefined && this.controlPorts.has(remotePort))
    );
  }
}

function countSocketBytes(socket: Socket): number {
  return socket.bytesRead + socket.bytesWritten;
}
