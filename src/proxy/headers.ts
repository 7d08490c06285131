/** Names of the proxies' own headers, and the choice of headers to forward. */
import {IncomingHttpHeaders} from 'node:http';

/** Time left until the caller's deadline, in milliseconds. */
export const DEADLINE_HEADER = 'fireflysill-deadline-ms';
/**
 * Set on requests to upstreams. A call that carries it is part of a chain that
 * an earlier proxy retries, so it is not retried again.
 */
export const RETRY_LAYER_HEADER = 'fireflysill-retry-layer';
/** To an upstream, the attempt id; to a peer, the whole attempt as JSON. */
export const ATTEMPT_HEADER = 'fireflysill-attempt';
/** The idempotency key that is sent to the upstream. */
export const UPSTREAM_KEY_HEADER = 'fireflysill-key';
/** The owner's result of an attempt, as JSON. */
export const RESULT_HEADER = 'fireflysill-result';
export const OUTCOME_HEADER = 'fireflysill-outcome';
export const REASON_HEADER = 'fireflysill-reason';
export const RETRY_AFTER_HEADER = 'fireflysill-retry-after-ms';
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';

/** Prefix of headers that only proxies may set. */
const RESERVED_HEADER_PREFIX = 'fireflysill-';

/** Hop-by-hop headers, and headers that are recomputed for each hop. */
const HEADERS_NOT_FORWARDED: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'content-length',
  'expect',
]);

export type HeaderRecord = Record<string, string | string[]>;

/**
 * Copies the end-to-end headers. Headers with the reserved prefix are left out,
 * so that neither callers nor upstreams can forge them.
 * @param headers - Received headers, with names in lower case.
 * @returns The headers to forward.
 */
export function copyEndToEndHeaders(
  headers: IncomingHttpHeaders | HeaderRecord,
): HeaderRecord {
  const connectionOptions = parseConnectionHeader(headers['connection']);
  const copy: HeaderRecord = {};
  for (const name in headers) {
    const value = headers[name];
    const forwarded =
      value !== undefined &&
      !HEADERS_NOT_FORWARDED.has(name) &&
      !name.startsWith(RESERVED_HEADER_PREFIX) &&
      !connectionOptions.includes(name);
    if (forwarded) {
      copy[name] = value;
    }
  }
  return copy;
}

/** Lists the headers that the `Connection` header declares hop-by-hop. */
function parseConnectionHeader(value: string | string[] | undefined): string[] {
  if (value === undefined || value === 'keep-alive' || value === 'close') {
    return [];
  }
  return String(value)
    .toLowerCase()
    .split(',')
    .map(option => option.trim());
}
