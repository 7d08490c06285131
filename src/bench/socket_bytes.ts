/** Counts the bytes of a process's control connections, headers included. */
import {subscribe} from 'node:diagnostics_channel';
import {Socket} from 'node:net';

/**
 * Tells whether a connection carries control traffic by its ports: a proxy's
 * peer address on either end, or the platform's address on the far end.
 */
export class SocketByteCounter {
  private readonly open = new Set<Socket>();
  private closedBytes = 0;

  /**
   * Starts to count; connections that are open already are missed.
   * @param controlPorts - Ports of peers and of the platform.
   */
  constructor(private readonly controlPorts: ReadonlySet<number>) {
    subscribe('net.client.socket', message => this.add(message));
    subscribe('net.server.socket', message => this.add(message));
  }

  /** @returns Bytes sent and received so far by all connections. */
  getBytes(): number {
    let bytes = this.closedBytes;
    for (const socket of this.open) {
      bytes += this.isControl(socket) ? getSocketBytes(socket) : 0;
    }
    return bytes;
  }

  private add(message: unknown): void {
    const {socket} = message as {socket: Socket};
    this.open.add(socket);
    // Ports are unknown once a socket is closed, so they are read before.
    let isControl = false;
    const note = () => {
      isControl = this.isControl(socket);
    };
    socket.once('connect', note);
    note();
    socket.once('close', () => {
      this.open.delete(socket);
      this.closedBytes += isControl ? getSocketBytes(socket) : 0;
    });
  }

  private isControl({localPort, remotePort}: Socket): boolean {
    return (
      (localPort !== undefined && this.controlPorts.has(localPort)) ||
      (remotePort !== undefined && this.controlPorts.has(remotePort))
    );
  }
}

function getSocketBytes(socket: Socket): number {
  return socket.bytesRead + socket.bytesWritten;
}
