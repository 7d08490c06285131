/** Asks an owner what became of a key whose attempt was lost. */
import {KeyVerdict} from '../../model/peer.js';
import {createRefusal} from '../refusals.js';
import {Emit} from '../types.js';
import {refuseCall, sendNextAttempt} from './attempts.js';
import {Call} from './calls.js';
import {Entry, EntryView} from './entry_state.js';
import {tryReserveRetry} from './retries.js';

/**
 * Time after the deadline in which an owner's verdict still counts. Owners
 * remember an attempt for longer than this.
 */
const VERDICT_VALID_MS = 5_000;

/** Asks the owner whether the attempt ran, and to prevent it if it did not. */
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
 * Takes an owner's word on a key that this entry asked it to close.
 * @param entry - This part's state.
 * @param view - Read-only views of the other parts.
 * @param attemptId - The attempt that failed.
 * @param verdict - The owner's word, or undefined where it did not answer.
 * @param emit - Takes effects.
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
  // An owner that was asked much later may have forgotten the key.
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
  refuseCall(entry, call, refusal, emit, 'home');
}
