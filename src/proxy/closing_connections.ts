/** Connections of callers that end with a response. */
import {Socket} from 'node:net';

/** Time in which a caller may read the last response and close its side. */
const LINGER_MS = 1_000;

const closing = new WeakSet<Socket>();

/**
 * Marks the connection of a response that closes it.
 * @param socket - The connection.
 */
export function markClosing(socket: Socket): void {
  closing.add(socket);
}

/**
 * Reports whether a request that is read now comes behind the response that closes its
 * connection. It cannot be answered; its caller counts it as unread.
 * @param socket - The connection.
 * @returns True if the head of that response has been written.
 */
export function isClosing(socket: Socket): boolean {
  return closing.has(socket);
}

/**
 * Ends a connection after what was written, and closes it once the caller has ended its
 * side or {@link LINGER_MS} later. Bytes that arrive at a closed connection reset it, which
 * discards the response that the caller has not read yet.
 * @param socket - The connection; its bytes are still read.
 */
export function closeAfterReading(socket: Socket): void {
  socket.end(() => {
    const timer = setTimeout(() => socket.destroy(), LINGER_MS);
    socket.once('close', () => clearTimeout(timer));
  });
}
