/** The table of errors that the stand-ins answer with. */

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
    'No such path; see docs/standins.md for the list.',
  ),
  unknown_method: createErrorKind(
    405,
    'The path has another method; see docs/standins.md.',
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
    'A published value may have at most 1 MB; split the patch.',
  ),
  body_too_large: createErrorKind(413, 'Send a smaller request body.'),
  body_incomplete: createErrorKind(400, 'Send the whole request body.'),
  too_many_calls: createErrorKind(
    429,
    'The platform is over its calls per second; retry after a backoff with jitter.',
  ),
} as const satisfies Record<string, StandinErrorKind>;

export type StandinErrorCode = keyof typeof STANDIN_ERRORS;

/** An error as it travels in an answer. */
export interface StandinError {
  readonly code: StandinErrorCode;
  readonly detail?: string;
}

/**
 * Makes an error.
 * @param code - The code in {@link STANDIN_ERRORS}.
 * @param detail - What was found.
 * @returns The error.
 */
export function createStandinError(
  code: StandinErrorCode,
  detail?: string,
): StandinError {
  return {code, detail};
}
