/** Maps the errors of the HTTP client to the failure kinds of the core. */
import {FailureKind} from '../core/types.js';
import {ENDLESS_ANSWER_CODE} from './connection_pools.js';

/** Codes of errors that occur before anything is sent. */
const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const TRUNCATION_ERROR_CODES: ReadonlySet<string> = new Set([
  'UND_ERR_RES_CONTENT_LENGTH_MISMATCH',
  'HPE_INVALID_CHUNK_SIZE',
  'HPE_INVALID_CONSTANT',
  'HPE_INVALID_EOF_STATE',
]);

const TIMEOUT_ERROR_CODES: ReadonlySet<string> = new Set([
  'UND_ERR_HEADERS_TIMEOUT',
  'UND_ERR_BODY_TIMEOUT',
  'UND_ERR_ABORTED',
  'ABORT_ERR',
]);

/**
 * Classifies an error of the HTTP client.
 * @param error - The error.
 * @param headersReceived - Whether the response headers had arrived.
 * @returns The failure kind; `reset` if the error is not recognized.
 */
export function classifyFailure(
  error: unknown,
  headersReceived: boolean,
): FailureKind {
  const code = getErrorCode(error);
  if (!headersReceived && CONNECT_ERROR_CODES.has(code)) {
    return 'connect';
  }
  if (TIMEOUT_ERROR_CODES.has(code)) {
    return 'timeout';
  }
  if (code === ENDLESS_ANSWER_CODE) {
    return 'too-large';
  }
  if (TRUNCATION_ERROR_CODES.has(code) || headersReceived) {
    return 'truncated';
  }
  return 'reset';
}

function getErrorCode(error: unknown): string {
  if (typeof error !== 'object' || error === null) {
    return '';
  }
  const {code, name} = error as {code?: unknown; name?: unknown};
  if (name === 'AbortError' || name === 'TimeoutError') {
    return 'ABORT_ERR';
  }
  return typeof code === 'string' ? code : '';
}
