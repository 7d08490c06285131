/** Sends bytes that no HTTP client would send. */
import {connect, Socket} from 'node:net';
import {once} from 'node:events';

export interface RawAnswer {
  /** Status codes of all answers on the connection, in order. */
  readonly statuses: readonly number[];
  /** Codes and outcomes that the bodies name, in order. */
  readonly errors: readonly string[];
}

const LOOPBACK = '127.0.0.1';
const STATUS_LINE_PATTERN = /^HTTP\/1\.1 (\d{3}) /gm;
const ERROR_FIELD_PATTERN = /"(?:code|outcome)":"?([^",}]*)/g;

/**
 * Sends bytes and reads until the other side closes the connection.
 * @param port - Loopback port.
 * @param pieces - What to send, one write each.
 * @param closeWriteSide - Whether to close the sending side afterwards.
 * @param host - Loopback address.
 * @returns What was answered.
 */
export async function sendRaw(
  port: number,
  pieces: ReadonlyArray<string | Buffer>,
  closeWriteSide = false,
  host = LOOPBACK,
): Promise<RawAnswer> {
  const socket = await openSocket(port, host);
  let text = '';
  socket.on('data', data => (text += data.toString('latin1')));
  pieces.forEach(piece => socket.write(piece));
  if (closeWriteSide) {
    socket.end();
  }
  if (!socket.closed) {
    await once(socket, 'close');
  }
  return {
    statuses: [...text.matchAll(STATUS_LINE_PATTERN)].map(match =>
      Number(match[1]),
    ),
    errors: [...text.matchAll(ERROR_FIELD_PATTERN)].map(match => match[1]),
  };
}

/**
 * Opens a connection whose errors are left to its `close` event.
 * @param port - Loopback port.
 * @returns The connected socket.
 */
export async function openSocket(
  port: number,
  host = LOOPBACK,
): Promise<Socket> {
  const socket = connect(port, host);
  await once(socket, 'connect');
  socket.on('error', () => {});
  return socket;
}
