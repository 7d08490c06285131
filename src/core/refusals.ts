/**
 * The table of refusals: each has a stable code, the outcome that the caller
 * may rely on, an HTTP status, and a message that names the remedy.
 */

/**
 * What is known of a request after the system has dealt with it.
 * `answered`: the upstream's whole answer. `not-run`: proved not to have run.
 * `unknown`: it may have run.
 */
export type Outcome = 'answered' | 'not-run' | 'unknown';

export interface RefusalKind {
  readonly outcome: Exclude<Outcome, 'answered'>;
  readonly status: number;
  readonly message: string;
}

function notRun(status: number, message: string): RefusalKind {
  return {outcome: 'not-run', status, message};
}

function unknown(status: number, message: string): RefusalKind {
  return {outcome: 'unknown', status, message};
}

export const REFUSALS = {
  proxy_not_ready: notRun(
    503,
    'The proxy has not caught up with the configuration; send to another proxy or retry later.',
  ),
  no_route: notRun(
    404,
    'No route matches the request; check the path with `fireflysill explain`.',
  ),
  no_upstream: notRun(
    503,
    'The service has no upstream that takes new work; retry after the given time.',
  ),
  bad_request: notRun(
    400,
    'The request is malformed; correct the header that the detail names.',
  ),
  body_too_large: notRun(
    413,
    'The request body exceeds the limit; send less or raise limits.maxRequestBytes.',
  ),
  deadline_too_short: notRun(
    503,
    'The request cannot finish before its deadline; allow more time or retry after the given time.',
  ),
  queue_full: notRun(
    503,
    'The upstream has no free slot and its queue is full; retry after the given time.',
  ),
  upstream_leaving: notRun(
    503,
    'The upstream is leaving and takes no new work; retry on another upstream.',
  ),
  upstream_down: notRun(
    503,
    'The upstream refused the connection; retry after the given time.',
  ),
  wrong_home: notRun(
    503,
    'This proxy does not own the request at its configuration version; retry after the given time.',
  ),
  key_closed: notRun(
    409,
    'The idempotency key was closed without running; send the request again under a new key.',
  ),
  key_reused: notRun(
    422,
    'The idempotency key was used for another request; send this one under a new key.',
  ),
  quarantined: notRun(
    403,
    'The request crashed upstreams that ran it; correct the request, or wait until the quarantine ends.',
  ),
  crash_suspected: notRun(
    503,
    'The request is suspected of crashing upstreams; retry after the given time, or correct the request.',
  ),
  config_unknown: notRun(
    503,
    'The proxy holds no configuration yet; retry after the given time.',
  ),
  proxy_stopping: notRun(
    503,
    'The proxy is stopping; send to another proxy after the given time.',
  ),
  call_cancelled: notRun(499, 'The caller went away before the request ran.'),
  key_in_doubt: unknown(
    409,
    'An earlier owner of the idempotency key cannot say whether it ran; check the result before sending it under a new key.',
  ),
  key_running: unknown(
    409,
    'A request with this idempotency key is running; retry with the same key after the given time.',
  ),
  key_table_full: unknown(
    503,
    'No more idempotency keys can be remembered; retry with the same key after the given time.',
  ),
  home_unreachable: unknown(
    503,
    'The owner of the idempotency key cannot be reached; retry with the same key after the given time.',
  ),
  attempt_lost: unknown(
    502,
    'The connection broke after the request was sent; check the result before sending it again.',
  ),
  attempt_timeout: unknown(
    504,
    'No answer came before the deadline; check the result before sending it again.',
  ),
  answer_truncated: unknown(
    502,
    'The upstream answer was incomplete or foreign; check the result before sending the request again.',
  ),
  answer_too_large: unknown(
    502,
    'The upstream answer exceeds the limit; raise limits.maxAnswerBytes.',
  ),
} as const satisfies Record<string, RefusalKind>;

export type RefusalReason = keyof typeof REFUSALS;

/** A refusal as it travels to the caller. */
export interface Refusal {
  readonly kind: 'refusal';
  readonly reason: RefusalReason;
  /** What is known of the request, and of every earlier try under its key. */
  readonly outcome: Exclude<Outcome, 'answered'>;
  /** Wait after which another try has a chance, in milliseconds. */
  readonly retryAfterMs?: number;
  readonly detail?: string;
}

/**
 * Makes a refusal.
 * @param reason - The code in {@link REFUSALS}.
 * @param retryAfterMs - Wait after which another try has a chance.
 * @param detail - What was found, for the reader of the answer.
 * @returns The refusal.
 */
export function createRefusal(
  reason: RefusalReason,
  retryAfterMs?: number,
  detail?: string,
): Refusal {
  const {outcome} = REFUSALS[reason];
  return {kind: 'refusal', reason, outcome, retryAfterMs, detail};
}

/**
 * Weakens a refusal that speaks for one try only. Another try under the same
 * key may have run elsewhere, so only the key's home may say `not-run` of it.
 * @param refusal - The refusal of one try.
 * @returns The refusal with outcome `unknown`.
 */
export function withUnknownOutcome(refusal: Refusal): Refusal {
  return {...refusal, outcome: 'unknown'};
}

/**
 * Tells whether a string, such as one from a peer, is a refusal code.
 * @param value - The string.
 * @returns True for a code in {@link REFUSALS}.
 */
export function isRefusalReason(value: string): value is RefusalReason {
  return Object.hasOwn(REFUSALS, value);
}
