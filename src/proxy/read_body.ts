/** Reads a request body into memory, up to a size limit. */
import {IncomingMessage} from 'node:http';
import {err, ok, Result} from 'neverthrow';

export type BodyError = 'too-large' | 'aborted';

const EMPTY_BODY = new Uint8Array(0);

/**
 * Reads a whole request body.
 * @param req - The request.
 * @param maxBytes - Largest body that is accepted, in bytes.
 * @returns The body, or the reason why it could not be read.
 */
export function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Result<Uint8Array, BodyError>> {
  const declaredBytes = Number(req.headers['content-length'] ?? 0);
  if (declaredBytes > maxBytes) {
    return Promise.resolve(err('too-large'));
  }
  const hasBody =
    declaredBytes > 0 || req.headers['transfer-encoding'] !== undefined;
  if (!hasBody) {
    req.resume();
    return Promise.resolve(ok(EMPTY_BODY));
  }
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let receivedBytes = 0;
    req.on('data', (chunk: Buffer) => {
      receivedBytes += chunk.length;
      if (receivedBytes > maxBytes) {
        chunks.length = 0;
        resolve(err('too-large'));
        return;
      }
      chunks.push(chunk);
    });
    req.on('end', () =>
      resolve(ok(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks))),
    );
    req.on('error', () => resolve(err('aborted')));
    req.on('close', () => resolve(err('aborted')));
  });
}
