/** HTTP responses of the upstream stand-in. */
import {createHash} from 'node:crypto';
import {IncomingMessage, ServerResponse} from 'node:http';
import * as z from 'zod';
import {parseRequestUrl, sendJson} from '../json_server.js';
import {Marks} from './options.js';

const STATUS_UNAVAILABLE = 503;
const STATUS_TIMEOUT = 504;
const RETRY_AFTER_SECONDS = 1;

/** Header with the cause of a refusal, `draining` or `shed`. */
const REFUSED_HEADER = 'upstream-refused';

/** Body of a complete answer; its fields identify the request. */
export const UpstreamAnswerSchema = z.strictObject({
  upstream: z.string(),
  /** Number of the journal entry. */
  entry: z.int(),
  method: z.string(),
  path: z.string(),
  echo: z.string().optional(),
  bodyBytes: z.int(),
  bodySha256: z.string(),
  padding: z.string(),
});

export type UpstreamAnswer = z.infer<typeof UpstreamAnswerSchema>;

/** A request whose work is finished. */
export interface ServedRequest {
  readonly upstreamId: string;
  readonly entry: number;
  readonly body: Buffer;
}

/**
 * Sends the answer to a request. If its marks ask for it, closes the
 * connection after half of the body.
 * @param req - The request.
 * @param res - The response.
 * @param served - The finished request.
 * @param marks - Marks of the request.
 */
export function sendAnswer(
  req: IncomingMessage,
  res: ServerResponse,
  served: ServedRequest,
  marks: Marks,
): void {
  const answer: UpstreamAnswer = {
    upstream: served.upstreamId,
    entry: served.entry,
    method: req.method ?? '',
    path: parseRequestUrl(req).pathname,
    echo: marks.echo,
    bodyBytes: served.body.length,
    bodySha256: createHash('sha256').update(served.body).digest('hex'),
    padding: 'x'.repeat(marks.padBytes),
  };
  if (!marks.truncate) {
    sendJson(res, 200, answer);
    return;
  }
  const text = Buffer.from(JSON.stringify(answer));
  res.writeHead(200, {
    'content-type': 'application/json',
    'content-length': text.length,
  });
  res.write(text.subarray(0, text.length / 2), () => res.destroy());
}

/**
 * Responds to a request whose work was stopped before it took effect.
 * @param res - The response.
 * @param cause - What stopped the work.
 */
export function sendStopped(
  res: ServerResponse,
  cause: 'client' | 'deadline',
): void {
  sendJson(res, STATUS_TIMEOUT, {stopped: cause});
}

/**
 * Refuses a request before its work starts.
 * @param res - The response.
 * @param cause - Reason for the refusal.
 */
export function sendRefusal(
  res: ServerResponse,
  cause: 'draining' | 'shed',
): void {
  res.setHeader(REFUSED_HEADER, cause);
  res.setHeader('retry-after', RETRY_AFTER_SECONDS);
  // The body of the request is not read, so the connection cannot be reused.
  res.setHeader('connection', 'close');
  sendJson(res, STATUS_UNAVAILABLE, {refused: cause});
}
