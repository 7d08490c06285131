/** Messages with which an owner tells an entry the outcome of an attempt. */
import {AttemptOutcome} from '../core/mesh/mesh_types.js';
import {isRefusalReason} from '../core/refusals.js';
import {LinkMessage} from '../model/mesh.js';
import {BodyClaim} from './body_pacer.js';
import {Link} from './link.js';

export type OutcomeMessage = Extract<LinkMessage, {kind: 'answer' | 'refusal'}>;

/**
 * Sends the outcome of an attempt to its entry.
 * @param claim - Claim of the answer's body.
 * @param onDone - Called when a large body was sent whole or is not wanted any more.
 */
export function sendOutcome(
  link: Link,
  attemptId: string,
  {result, reachedUpstream, load}: AttemptOutcome,
  claim?: BodyClaim,
  onDone?: () => void,
): void {
  const reportedLoad = load ?? {
    running: 0,
    queued: 0,
    slots: 0,
    leaving: false,
  };
  if (result.kind === 'answer') {
    const {status, body, unframed} = result;
    const headers = result.headers as Record<string, string | string[]>;
    const message = {kind: 'answer', attemptId, status, headers} as const;
    const answer = {...message, unframed, load: reportedLoad};
    link.send(answer, body, attemptId, claim, onDone);
    return;
  }
  const {reason, outcome, retryAfterMs} = result;
  link.send({
    kind: 'refusal',
    attemptId,
    reason,
    outcome,
    retryAfterMs: retryAfterMs && Math.round(retryAfterMs),
    reachedUpstream,
    load: reportedLoad,
  });
}

/** Reads the outcome of an attempt from the message of its owner. */
export function readOutcome(
  message: OutcomeMessage,
  body: Uint8Array,
): AttemptOutcome {
  const {load} = message;
  if (message.kind === 'answer') {
    const {status, headers, unframed} = message;
    const result = {kind: 'answer', status, headers, body, unframed} as const;
    return {result, reachedUpstream: true, load};
  }
  const {reason, outcome, retryAfterMs, reachedUpstream} = message;
  // A proxy of a newer version may send a reason that is unknown here.
  const knownReason = isRefusalReason(reason) ? reason : 'attempt_lost';
  return {
    result: {kind: 'refusal', reason: knownReason, outcome, retryAfterMs},
    reachedUpstream,
    load,
  };
}
