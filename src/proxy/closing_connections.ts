/**
 * Connections of callers that end with a response. Requests behind that response cannot
 * be answered, so they must not run: their callers count them as unread.
 */
import {IncomingMessage} from 'node:http';
import {Socket} from 'node:net';
import {Duplex} from 'node:stream';

/** Time in which a caller may read the last response and close its side. */
const LINGER_MS = 1_000;

interface RequestOrder {
  /** Number of requests whose heads have been read. */
  received: number;
  /** Number of the last request that can be answered. */
  last: number;
}

const orders = new WeakMap<Duplex, RequestOrder>();

/** Position of each request on its connection, from 1. */
const positions = new WeakMap<IncomingMessage, number>();

function getOrder(socket: Duplex): RequestOrder {
  const known = orders.get(socket);
  if (known !== undefined) {
    return known;
  }
  const order = {received: 0, last: Infinity};
  orders.set(socket, order);
  return order;
}

/**
 * Records that the head of a request was read.
 * @param req - The request.
 */
export function recordRequest(req: IncomingMessage): void {
  const order = getOrder(req.socket);
  order.received += 1;
  positions.set(req, order.received);
}

/**
 * Records that the response to a request closes its connection.
 * @param req - The request; those behind it cannot be answered.
 */
export function endConnectionAfter(req: IncomingMessage): void {
  const order = getOrder(req.socket);
  order.last = Math.min(order.last, positions.get(req) ?? order.received);
}

/**
 * Records that input is rejected, which ends its connection.
 * @param socket - The connection; what is read on it from now on cannot be answered.
 * @param rejectsLast - Whether the input is a part of the last request, of which only
 *     the head was read.
 */
export function rejectInput(socket: Duplex, rejectsLast: boolean): void {
  const order = getOrder(socket);
  const last = rejectsLast ? order.received - 1 : order.received;
  order.last = Math.min(order.last, last);
}

/**
 * Reports whether a request comes behind the end of its connection.
 * @param req - The request.
 * @returns True if it cannot be answered and must not run.
 */
export function isBehindEnd(req: IncomingMessage): boolean {
  return (positions.get(req) ?? 0) > getOrder(req.socket).last;
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
