/**
 * Closes the idempotency key of a failed attempt at its owner, which settles
 * whether the attempt ran.
 */
import {KeyVerdict} from '../../model/peer.js';
import {createRefusal} from '../refusals.js';
import {Emit} from '../types.js';
import {refuseCall, sendNextAttempt} from './attempts.js';
import {Call} from './calls.js';
import {Entry, EntryView} from './entry_state.js';
import {tryReserveRetry} from './retries.js';

/**
 * Time after the deadline of a call until which an owner's verdict is valid.
 * Owners keep the record of an attempt for longer than this.
 */
const VERDICT_VALID_MS = 5_000;

/** Asks the owner whether an attempt ran, and to prevent it if it did not. */
export function requestKeyClose(
  entry: Entry,
  view: EntryView,
  call: Call,
  emit: Emit,
): void {
  const current = call.currentAttempt;
  if (current === undefined || call.key === undefined) {
    return;
  }
  current.closing = true;
  entry.calls.byAttempt.set(current.attemptId, call);
  emit({
    kind: 'askPeer',
    address: current.address,
    request: {
      kind: 'closeKey',
      service: call.route.service,
      key: call.key,
      attemptId: current.attemptId,
      cause: 'give-up',
      version: view.table.version,
    },
  });
}

/**
 * Handles an owner's verdict on a key that this entry asked it to close.
 * @param entry - The entry's state.
 * @param view - State of the other parts, read-only.
 * @param attemptId - The attempt that failed.
 * @param verdict - The verdict, or undefined if the owner did not answer.
 * @param emit - Receives the effects.
 */
export function handleCloseVerdict(
  entry: Entry,
  view: EntryView,
  attemptId: string,
  verdict: KeyVerdict | undefined,
  emit: Emit,
): void {
  const call = entry.calls.byAttempt.get(attemptId);
  if (call?.currentAttempt?.closing !== true) {
    return;
  }
  entry.calls.byAttempt.delete(attemptId);
  // The owner may have removed the key record if it was asked much later.
  const inTime = view.at <= call.deadlineAt + VERDICT_VALID_MS;
  const notRun =
    inTime && (verdict?.status === 'never-ran' || verdict?.status === 'closed');
  if (!notRun) {
    refuseCall(entry, call, createRefusal('attempt_lost'), emit);
    return;
  }
  call.mayHaveRun = false;
  const refusal = createRefusal('key_closed');
  if (call.privateKey && tryReserveRetry(entry, view, call, 'closed', emit)) {
    sendNextAttempt(entry, view, call, refusal, emit);
    return;
  }
  refuseCall(entry, call, refusal, emit, 'keyHolder');
}
