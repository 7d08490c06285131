/** Sends raw bytes to an HTTP server, such as input that is not valid HTTP. */
import {connect, Socket} from 'node:net';
import {once} from 'node:events';

export interface RawAnswer {
  /** Status codes of all answers on the connection, in order. */
  readonly statuses: readonly number[];
  /** Error codes and outcomes in the bodies, in order. */
  readonly errors: readonly string[];
}

const LOOPBACK = '127.0.0.1';
const STATUS_LINE_PATTERN = /^HTTP\/1\.1 (\d{3}) /gm;
const ERROR_FIELD_PATTERN = /"(?:code|outcome)":"?([^",}]*)/g;

/**
 * Sends bytes and reads until the server closes the connection.
 * @param port - Port of the server.
 * @param pieces - The bytes to send, one write for each piece.
 * @param closeWriteSide - Whether to half-close the connection afterwards.
 * @param host - Loopback address of the server.
 * @returns The answers on the connection.
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
 * Opens a connection. Its errors are ignored; they also cause `close`.
 * @param port - Port of the server.
 * @param host - Loopback address of the server.
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
