/** Converts the results of attempts and calls to and from HTTP. */
import {ServerResponse} from 'node:http';
import * as z from 'zod';
import {Refusal, REFUSALS, isRefusalReason} from '../core/refusals.js';
import {Answer} from '../core/types.js';
import {LoadReport, LoadReportSchema} from '../model/peer.js';
import {endConnectionAfter, isBehindEnd} from './closing_connections.js';
import {
  copyEndToEndHeaders,
  HeaderRecord,
  OUTCOME_HEADER,
  REASON_HEADER,
  RESULT_HEADER,
  RETRY_AFTER_HEADER,
} from './headers.js';
import {HttpAnswer} from './http_exchange.js';

const MS_PER_SECOND = 1_000;

/** Content of the header in which an owner sends its result to the entry. */
const AttemptResultSchema = z.strictObject({
  attemptId: z.string(),
  load: LoadReportSchema,
  refusal: z
    .strictObject({
      reason: z.string(),
      outcome: z.enum(['not-run', 'unknown']),
      retryAfterMs: z.number().optional(),
      detail: z.string().optional(),
    })
    .optional(),
});

/**
 * Sends the result of an attempt to the entry.
 * @param res - The response to the entry.
 * @param attemptId - The attempt, repeated so that the entry can verify it.
 * @param result - The upstream's answer or a refusal.
 * @param load - The upstream's load.
 */
export function writeAttemptResult(
  res: ServerResponse,
  attemptId: string,
  result: Answer | Refusal,
  load: LoadReport,
): void {
  if (result.kind === 'answer') {
    const header = JSON.stringify({attemptId, load});
    writeResponse(res, result.status, result.body, {
      ...result.headers,
      [RESULT_HEADER]: header,
    });
    return;
  }
  const {reason, outcome, retryAfterMs, detail} = result;
  const refusal = {reason, outcome, retryAfterMs, detail};
  writeResponse(res, REFUSALS[reason].status, Buffer.alloc(0), {
    [RESULT_HEADER]: JSON.stringify({attemptId, load, refusal}),
  });
}

/**
 * Parses an owner's result of an attempt.
 * @param attemptId - The attempt to which the result must belong.
 * @param answer - The HTTP answer.
 * @returns The result, or undefined if the answer does not hold a valid result
 *     of this attempt.
 */
export function tryReadAttemptResult(
  attemptId: string,
  answer: HttpAnswer,
): {result: Answer | Refusal; load: LoadReport} | undefined {
  const header = answer.headers[RESULT_HEADER];
  const parsed = AttemptResultSchema.safeParse(tryParseJson(header));
  if (!parsed.success || parsed.data.attemptId !== attemptId) {
    return undefined;
  }
  const {load, refusal} = parsed.data;
  if (refusal === undefined) {
    const {status, body} = answer;
    const headers = copyEndToEndHeaders(answer.headers);
    return {result: {kind: 'answer', status, headers, body}, load};
  }
  const {reason} = refusal;
  // A peer with a newer build may send a reason that this build does not know.
  const knownReason = isRefusalReason(reason) ? reason : 'attempt_lost';
  return {result: {...refusal, kind: 'refusal', reason: knownReason}, load};
}

function tryParseJson(text: unknown): unknown {
  if (typeof text !== 'string') {
    return undefined;
  }
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/**
 * Sends the result of a call to its caller.
 * @param res - The response to the caller.
 * @param result - The upstream's answer or a refusal.
 * @param close - Whether to close the connection afterwards.
 * @param retryAfterPrecision - Whether `Retry-After` holds whole seconds,
 *     rounded up, or a decimal fraction.
 */
export function writeCallResult(
  res: ServerResponse,
  result: Answer | Refusal,
  close: boolean,
  retryAfterPrecision: 'whole-seconds' | 'fractions' = 'whole-seconds',
): void {
  const connectionHeader: HeaderRecord = close ? {connection: 'close'} : {};
  if (result.kind === 'answer') {
    writeResponse(
      res,
      result.status,
      result.body,
      {
        ...result.headers,
        ...connectionHeader,
        [OUTCOME_HEADER]: 'answered',
      },
      result.unframed,
    );
    return;
  }
  writeRefusal(res, result, connectionHeader, retryAfterPrecision);
}

function writeRefusal(
  res: ServerResponse,
  refusal: Refusal,
  connectionHeader: HeaderRecord,
  retryAfterPrecision: 'whole-seconds' | 'fractions',
): void {
  const {reason, outcome, retryAfterMs, detail} = refusal;
  const {status, message} = REFUSALS[reason];
  const headers: HeaderRecord = {
    ...connectionHeader,
    'content-type': 'application/json',
    [OUTCOME_HEADER]: outcome,
    [REASON_HEADER]: reason,
  };
  if (retryAfterMs !== undefined) {
    const exactSeconds = Math.ceil(retryAfterMs) / MS_PER_SECOND;
    const seconds =
      retryAfterPrecision === 'fractions'
        ? exactSeconds
        : Math.ceil(exactSeconds);
    headers['retry-after'] = String(seconds);
    headers[RETRY_AFTER_HEADER] = String(Math.ceil(retryAfterMs));
  }
  const error = {code: reason, outcome, message, detail, retryAfterMs};
  writeResponse(res, status, Buffer.from(JSON.stringify({error})), headers);
}

function writeResponse(
  res: ServerResponse,
  status: number,
  body: Uint8Array,
  headers: Readonly<Record<string, string | readonly string[]>>,
  unframed = false,
): void {
  if (res.headersSent || res.destroyed || isBehindEnd(res.req)) {
    return;
  }
  if (unframed || headers.connection === 'close') {
    endConnectionAfter(res.req);
  }
  if (unframed) {
    res.useChunkedEncodingByDefault = false;
    res.writeHead(status, {...headers, connection: 'close'} as HeaderRecord);
    res.end(body);
    return;
  }
  const mayHaveBody = status !== 204 && status !== 304;
  const length = mayHaveBody ? {'content-length': String(body.length)} : {};
  res.writeHead(status, {...headers, ...length} as Record<
    string,
    string | string[]
  >);
  res.end(mayHaveBody ? body : undefined);
}
