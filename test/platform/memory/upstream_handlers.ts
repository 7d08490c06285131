/** What upstreams do with the requests of a crowd. */
import {IncomingMessage, ServerResponse} from 'node:http';
import {createHash} from 'node:crypto';
import {HEADER_NAMES} from '../../../platform/header_names.js';

export type Handler = (req: IncomingMessage, res: ServerResponse) => void;

/** Sends parts as fast as the proxy takes them; resolves at the end of the sending. */
async function sendAll(
  {socket}: ServerResponse,
  parts: Iterable<Uint8Array>,
): Promise<void> {
  for (const part of parts) {
    if (!socket?.writable) {
      return;
    }
    await new Promise(resolve => socket.write(part, resolve));
  }
}

function getEcho({headers}: IncomingMessage): string {
  return String(headers[HEADER_NAMES.requestId]);
}

/** Reads a body without keeping it, and answers with its length and hash. */
export const answerWithSummary: Handler = (req, res) => {
  const hash = createHash('sha1');
  let bytes = 0;
  req.on('error', () => undefined);
  req.on('data', (chunk: Buffer) => {
    hash.update(chunk);
    bytes += chunk.length;
  });
  req.on('end', () => {
    res.writeHead(200, {
      [HEADER_NAMES.requestId]: getEcho(req),
      'x-response-signature': 'signed',
    });
    res.end(`${bytes} ${hash.digest('hex')}`);
  });
};

/** Neither reads the body nor answers. */
export const readNothing: Handler = req => {
  req.on('error', () => undefined);
};

/**
 * Creates a handler that answers 200 with a body.
 * @param framing - Field of the head that tells the end of the body.
 * @param parts - The body as it is sent.
 * @param inTurn - Whether an answer waits until the one before it has been sent.
 */
export function createAnswer(
  framing: string,
  parts: readonly Uint8Array[],
  inTurn = false,
): Handler {
  let last = Promise.resolve();
  return (req, res) => {
    req.resume();
    const head =
      `HTTP/1.1 200 OK\r\n${HEADER_NAMES.requestId}: ${getEcho(req)}\r\n` +
      `X-Response-Signature: signed\r\n${framing}\r\n\r\n`;
    const send = () => sendAll(res, [Buffer.from(head), ...parts]);
    last = inTurn ? last.then(send) : send();
  };
}

/**
 * Creates a handler that sends interim heads before its answer.
 * @param head - One or several heads.
 * @param count - Number of times that they are sent.
 */
export function createInterimHeads(head: Buffer, count: number): Handler {
  return (req, res) => {
    req.resume();
    const answer =
      `HTTP/1.1 200 OK\r\n${HEADER_NAMES.requestId}: ${getEcho(req)}\r\n` +
      'X-Response-Signature: signed\r\nContent-Length: 2\r\n\r\nok';
    const parts = Array.from({length: count}, () => head);
    void sendAll(res, [...parts, Buffer.from(answer)]);
  };
}
