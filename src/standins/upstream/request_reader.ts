/** Parses the marks and the proxy headers of a request. */
import {IncomingMessage} from 'node:http';
import {Result} from 'neverthrow';
import {StandinError} from '../errors.js';
import {validate} from '../json_server.js';
import {
  Marks,
  MarksSchema,
  ProxyHeaders,
  ProxyHeadersSchema,
} from './options.js';

/** Header of each mark; if absent, the query parameter named as the mark is read. */
const MARK_NAMES: Readonly<Record<keyof Marks, string>> = {
  workMs: 'x-work-ms',
  crash: 'x-crash',
  truncate: 'x-truncate',
  padBytes: 'x-pad-bytes',
  echo: 'x-echo',
};

/**
 * Reads the marks of a request.
 * @param req - The request.
 * @param url - Its URL.
 * @returns The marks, or `bad_header`.
 */
export function readMarks(
  req: IncomingMessage,
  url: URL,
): Result<Marks, StandinError> {
  const values: Record<string, string> = {};
  for (const [mark, header] of Object.entries(MARK_NAMES)) {
    const value = readHeader(req, header) ?? url.searchParams.get(mark);
    if (typeof value === 'string') {
      values[mark] = value;
    }
  }
  return validate(MarksSchema, values, 'bad_header');
}

/**
 * Reads the headers that the proxy sets.
 * @param req - The request.
 * @returns Attempt, key and remaining time, or `bad_header`.
 */
export function readProxyHeaders(
  req: IncomingMessage,
): Result<ProxyHeaders, StandinError> {
  return validate(
    ProxyHeadersSchema,
    {
      attemptId: readHeader(req, 'fireflysill-attempt'),
      key: readHeader(req, 'fireflysill-key'),
      deadlineMs: readHeader(req, 'fireflysill-deadline-ms'),
    },
    'bad_header',
  );
}

function readHeader(req: IncomingMessage, name: string): string | undefined {
  const value = req.headers[name];
  return Array.isArray(value) ? value.join(',') : value;
}
