/** Refusals of attempts that were sent and got no complete answer. */
import {createRefusal, Refusal} from './refusals.js';
import {FailureKind} from './types.js';

/**
 * Creates the refusal of an attempt that may have run.
 * @param failure - How the attempt failed after it had been sent.
 * @returns The refusal, with outcome `unknown`.
 */
export function createUnknownOutcomeRefusal(
  failure: Exclude<FailureKind, 'connect'>,
): Refusal {
  switch (failure) {
    case 'reset':
      return createRefusal('attempt_lost');
    case 'timeout':
      return createRefusal('attempt_timeout');
    case 'truncated':
      return createRefusal('answer_truncated');
    case 'too-large':
      return createRefusal('answer_too_large');
  }
}
