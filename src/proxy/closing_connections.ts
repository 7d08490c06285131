/** Connections of callers that end with a response. */
import {Socket} from 'node:net';

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
