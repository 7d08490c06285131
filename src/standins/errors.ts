/** Error codes of the stand-ins, each with its HTTP status and message. */

export interface StandinErrorKind {
  readonly status: number;
  readonly message: string;
}

function createErrorKind(status: number, message: string): StandinErrorKind {
  return {status, message};
}

export const STANDIN_ERRORS = {
  unknown_path: createErrorKind(
    404,
    'The path does not exist; docs/standins.md lists the paths.',
  ),
  unknown_method: createErrorKind(
    405,
    'The path does not support this method; docs/standins.md lists the methods.',
  ),
  bad_query: createErrorKind(
    400,
    'Correct the query parameter that the detail names.',
  ),
  bad_body: createErrorKind(
    400,
    'Correct the JSON body at the path that the detail names.',
  ),
  bad_header: createErrorKind(
    400,
    'Correct the request header that the detail names.',
  ),
  value_too_large: createErrorKind(
    413,
    'A published value must not exceed 1 MB; split the patch.',
  ),
  body_too_large: createErrorKind(
    413,
    'The request body is too large; send a smaller one.',
  ),
  body_incomplete: createErrorKind(
    400,
    'The connection closed within the request body; send the whole body.',
  ),
  too_many_calls: createErrorKind(
    429,
    'The platform is over its limit of calls per second; retry after a backoff with jitter.',
  ),
} as const satisfies Record<string, StandinErrorKind>;

export type StandinErrorCode = keyof typeof STANDIN_ERRORS;

/** An error of a request; its response adds the message of the code. */
export interface StandinError {
  readonly code: StandinErrorCode;
  readonly detail?: string;
}

/**
 * Creates an error.
 * @param code - A key of {@link STANDIN_ERRORS}.
 * @param detail - The offending part of the request.
 * @returns The error.
 */
export function createStandinError(
  code: StandinErrorCode,
  detail?: string,
): StandinError {
  return {code, detail};
}
