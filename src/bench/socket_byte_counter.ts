/**
 * Counts the bytes on the control connections of a process, including headers.
 */
import {subscribe} from 'node:diagnostics_channel';
import {Socket} from 'node:net';

/**
 * Counts the bytes of control connections. A connection carries control traffic
 * if either of its ports belongs to the peer address of a proxy or to the
 * platform.
 */
export class SocketByteCounter {
  private readonly openSockets = new Set<Socket>();
  private closedBytes = 0;

  /**
   * Starts counting. Connections that are open already are not counted.
   * @param controlPorts - Ports of the peer addresses and of the platform.
   */
  constructor(private readonly controlPorts: ReadonlySet<number>) {
    subscribe('net.client.socket', message => this.track(message));
    subscribe('net.server.socket', message => this.track(message));
  }

  /** @returns Bytes sent and received so far on all control connections. */
  countBytes(): number {
    let bytes = this.closedBytes;
    for (const socket of this.openSockets) {
      bytes += this.isControl(socket) ? countSocketBytes(socket) : 0;
    }
    return bytes;
  }

  private track(message: unknown): void {
    const {socket} = message as {socket: Socket};
    this.openSockets.add(socket);
    // A closed socket has lost its ports, so they are checked while it is open.
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
