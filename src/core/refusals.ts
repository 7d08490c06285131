/**
 * The table of refusals. Each has a stable code, the outcome that the caller
 * may rely on, an HTTP status, and a message that states the remedy.
 */

/**
 * What is known about a request once the system has handled it.
 * `answered`: the upstream's complete answer is returned.
 * `not-run`: the request provably did not run.
 * `unknown`: the request may have run.
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

/**
 * The refusals by code. The codes are part of the external interface. They call
 * a key holder (the proxy that keeps the record of an idempotency key) a
 * `home`, as do the counter reason `former_home` and the stored field
 * `formerHomes`. `wrong_home` also covers requests without a key that reach
 * another proxy than the owner of their upstream.
 */
export const REFUSALS = {
  proxy_not_ready: notRun(
    503,
    'The proxy has not loaded the current configuration yet; send to another proxy or retry later.',
  ),
  no_route: notRun(
    404,
    'No route matches the request; check the path with `fireflysill explain`.',
  ),
  no_upstream: notRun(
    503,
    'The service has no upstream that accepts new requests; retry after the given time.',
  ),
  bad_request: notRun(
    400,
    'The request is malformed; correct the header that the detail names.',
  ),
  body_too_large: notRun(
    413,
    'The request body exceeds the limit; send less or raise limits.maxRequestBytes.',
  ),
  receive_timeout: notRun(
    408,
    'The request did not arrive before its deadline; send it faster or allow more time.',
  ),
  deadline_too_short: notRun(
    503,
    'The request cannot finish before its deadline; allow more time or retry after the given time.',
  ),
  queue_full: notRun(
    503,
    'The upstream has no free slot and its queue is full; retry after the given time.',
  ),
  rate_limited: notRun(
    503,
    'The upstream limits its request rate and cannot take the request in time; retry after the given time.',
  ),
  upstream_leaving: notRun(
    503,
    'The upstream is draining or being removed and accepts no new requests; retry on another upstream.',
  ),
  zone_evacuated: notRun(
    503,
    'The zone of the upstream is evacuated; retry on an upstream of another zone.',
  ),
  link_saturated: notRun(
    503,
    'The network connection of the upstream is saturated and the answer would arrive too late; retry after the given time.',
  ),
  memory_full: notRun(
    503,
    'The proxy has no memory for the request; retry after the given time.',
  ),
  upstream_down: notRun(
    503,
    'The upstream refused the connection; retry after the given time.',
  ),
  wrong_home: notRun(
    503,
    'This proxy is not the owner of the request under its configuration version; retry after the given time.',
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
    'The request crashed the upstreams that ran it; correct the request, or wait until the quarantine ends.',
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
  call_cancelled: notRun(
    499,
    'The caller disconnected before the request ran; send it again if the result is still needed.',
  ),
  key_in_doubt: unknown(
    409,
    'The request with this idempotency key may have run earlier; check the result before sending it under a new key.',
  ),
  key_running: unknown(
    409,
    'A request with this idempotency key is in progress; retry with the same key after the given time.',
  ),
  key_table_full: unknown(
    503,
    'The table of idempotency keys is full; retry with the same key after the given time.',
  ),
  home_unreachable: unknown(
    503,
    'The proxy that holds the idempotency key cannot be reached; retry with the same key after the given time.',
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
    'The upstream answer was incomplete or belonged to another request; check the result before sending the request again.',
  ),
  answer_too_large: unknown(
    502,
    'The upstream answer exceeds the limit; raise limits.maxAnswerBytes.',
  ),
} as const satisfies Record<string, RefusalKind>;

export type RefusalReason = keyof typeof REFUSALS;

/** A refusal as it is sent to the caller. */
export interface Refusal {
  readonly kind: 'refusal';
  readonly reason: RefusalReason;
  /** Covers the request and every earlier attempt under its key. */
  readonly outcome: Exclude<Outcome, 'answered'>;
  /** Time after which a retry may succeed, in milliseconds. */
  readonly retryAfterMs?: number;
  readonly detail?: string;
}

/**
 * Creates a refusal.
 * @param reason - The code in {@link REFUSALS}.
 * @param retryAfterMs - Time after which a retry may succeed.
 * @param detail - What was found, for the person who reads the answer.
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
 * Replaces the outcome of a refusal that covers a single attempt. Another
 * attempt under the same key may have run elsewhere, so only the key holder may
 * report `not-run` for a key.
 * @param refusal - The refusal of one attempt.
 * @returns The refusal with outcome `unknown`.
 */
export function weakenToUnknown(refusal: Refusal): Refusal {
  return {...refusal, outcome: 'unknown'};
}

/**
 * Reports whether a string, such as one from a peer, is a refusal code.
 * @param value - The string.
 * @returns True for a code in {@link REFUSALS}.
 */
export function isRefusalReason(value: string): value is RefusalReason {
  return Object.hasOwn(REFUSALS, value);
}
