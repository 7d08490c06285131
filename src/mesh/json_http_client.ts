/** Reads JSON documents over HTTP from one address. */
import {err, ok, Result} from 'neverthrow';
import * as z from 'zod';
import {ConnectionPools} from '../proxy/connection_pools.js';
import {HeaderRecord} from '../proxy/headers.js';
import {startExchange, HttpAnswer} from '../proxy/http_exchange.js';
import {SourceError} from './fleet_source.js';

/** Limit on connections; reads seldom overlap. */
const MAX_CONNECTIONS = 2;

/** Time for the rest of an answer that has begun: a large one on a slow link. */
const BODY_TIMEOUT_MS = 3_000;

const MAX_ANSWER_BYTES = 16 * 1_048_576;

/** Limit on the values of a document; each takes far more memory than its text. */
const MAX_VALUES = 500_000;

/** Bytes before each value of a document but the first, or of its lists and objects. */
const VALUE_BYTES: ReadonlySet<number> = new Set(Buffer.from(',[{'));

const STATUS_OK = 200;
const EMPTY_BODY = new Uint8Array(0);

/** An answer with an accepted status. */
export interface JsonReply {
  readonly status: number;
  readonly headers: HeaderRecord;
  /** The parsed document; undefined if the status is not 200. */
  readonly value: unknown;
}

export class JsonHttpClient {
  private readonly pools = new ConnectionPools(MAX_CONNECTIONS);

  /**
   * @param address - `IP:port` of the server.
   * @param acceptedStatuses - Statuses beside 200 that are answers, not errors.
   */
  constructor(
    private readonly address: string,
    private readonly acceptedStatuses: readonly number[],
  ) {}

  /**
   * Reads a document.
   * @param path - The path.
   * @param query - The parameters.
   * @param headTimeoutMs - Time until the answer must have begun, in milliseconds.
   * @returns The answer, or why there is none; never rejects.
   */
  async get(
    path: string,
    query: Record<string, string>,
    headTimeoutMs: number,
  ): Promise<Result<JsonReply, SourceError>> {
    const params = new URLSearchParams(query);
    const {result} = startExchange(this.pools.get(this.address), {
      method: 'GET',
      path: `${path}?${params.toString()}`,
      headers: {accept: 'application/json'},
      body: EMPTY_BODY,
      headTimeoutMs,
      timeoutMs: headTimeoutMs + BODY_TIMEOUT_MS,
      maxAnswerBytes: MAX_ANSWER_BYTES,
    });
    const answer = await result;
    if (answer.isErr()) {
      // A connection that lost an answer may not be usable any more.
      this.pools.replacePool(this.address);
      return err({kind: 'unreachable', detail: `${path} ${answer.error}`});
    }
    return this.parse(path, answer.value);
  }

  async close(): Promise<void> {
    await this.pools.destroy();
  }

  private parse(
    path: string,
    {status, headers, body}: HttpAnswer,
  ): Result<JsonReply, SourceError> {
    if (this.acceptedStatuses.includes(status)) {
      return ok({status, headers, value: undefined});
    }
    if (status !== STATUS_OK) {
      return err({kind: 'refused', detail: `${path} answered ${status}`});
    }
    if (hasMoreValues(body, MAX_VALUES)) {
      const detail = `${path}: more than ${MAX_VALUES} values`;
      return err({kind: 'unreadable', detail});
    }
    try {
      const value: unknown = JSON.parse(Buffer.from(body).toString('utf8'));
      return ok({status, headers, value});
    } catch (error) {
      return err({kind: 'unreadable', detail: `${path}: ${String(error)}`});
    }
  }
}

/** Reports whether a document may have more values than a limit. */
function hasMoreValues(body: Uint8Array, limit: number): boolean {
  if (body.length <= limit) {
    return false;
  }
  let values = 0;
  for (const byte of body) {
    values += VALUE_BYTES.has(byte) ? 1 : 0;
  }
  return values > limit;
}

/** Validates the document of a reply. */
export function validateReply<T>(
  schema: z.ZodType<T>,
  {status, value}: JsonReply,
): Result<T, SourceError> {
  const parsed = schema.safeParse(value);
  if (parsed.success) {
    return ok(parsed.data);
  }
  const [issue] = parsed.error.issues;
  const detail = `status ${status}, ${issue.path.join('.')}: ${issue.message}`;
  return err({kind: 'unreadable', detail});
}
