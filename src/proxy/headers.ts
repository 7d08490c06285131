/** Header names of the system, and which headers travel end to end. */
import {IncomingHttpHeaders} from 'node:http';

/** Time that the caller still allows, in milliseconds. */
export const DEADLINE_HEADER = 'fireflysill-deadline-ms';
/** Set on requests to upstreams; a chained call that carries it is not retried. */
export const RETRY_LAYER_HEADER = 'fireflysill-retry-layer';
/** Names the attempt; towards peers it holds the whole attempt as JSON. */
export const ATTEMPT_HEADER = 'fireflysill-attempt';
/** The idempotency key, as an upstream sees it. */
export const UPSTREAM_KEY_HEADER = 'fireflysill-key';
/** Result of an attempt from its owner, as JSON. */
export const RESULT_HEADER = 'fireflysill-result';
export const OUTCOME_HEADER = 'fireflysill-outcome';
export const REASON_HEADER = 'fireflysill-reason';
export const RETRY_AFTER_HEADER = 'fireflysill-retry-after-ms';
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';

const RESERVED_HEADER_PREFIX = 'fireflysill-';

/** Headers that concern one connection only, and those that are set anew. */
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
 * Copies the headers that travel end to end. Headers of the system are left
 * out, so that neither callers nor upstreams can forge them.
 * @param headers - Received headers, names in lower case.
 * @returns The copy.
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

/** Headers that the `Connection` header declares hop-by-hop. */
function parseConnectionHeader(value: string | string[] | undefined): string[] {
  if (value === undefined || value === 'keep-alive' || value === 'close') {
    return [];
  }
  return String(value)
    .toLowerCase()
    .split(',')
    .map(option => option.trim());
}
