/**
 * Defines the events that the decision core handles and the effects that it
 * requests, as unions discriminated by `kind`.
 */
import {Submission} from '../model/config.js';
import {VmList} from '../model/platform.js';
import {Attempt, LoadReport, PeerReply, PeerRequest} from '../model/peer.js';
import {Refusal} from './refusals.js';

/** A complete answer of an upstream; the core never inspects the body. */
export interface Answer {
  readonly kind: 'answer';
  readonly status: number;
  readonly headers: Readonly<Record<string, string | readonly string[]>>;
  readonly body: Uint8Array;
  /**
   * The upstream sent no length, so the body ended when its connection closed.
   * The answer is forwarded without a length too, because a truncated body
   * cannot be detected.
   */
  readonly unframed?: boolean;
}

/** The parts of a caller's request that decisions depend on. */
export interface CallInfo {
  readonly method: string;
  readonly host: string;
  readonly path: string;
  /** The caller's `Idempotency-Key`. */
  readonly key?: string;
  /** Time left until the caller's deadline, in milliseconds. */
  readonly timeoutMs?: number;
  /** Hash of method, path and body. */
  readonly fingerprint: string;
  /** A proxy earlier in the call chain retries, so this one must not. */
  readonly retriedByOuter: boolean;
}

/** Time and randomness of an event; the core has no other source of either. */
interface EventBase {
  /** Unix milliseconds; never less than those of an earlier event. */
  readonly at: number;
  /** A random unsigned 32-bit integer. */
  readonly entropy: number;
}

/** How sending an attempt to its owner, or dispatching it, failed. */
export type FailureKind =
  /** The connection was refused, so nothing was sent. */
  | 'connect'
  /** The connection broke after the request was sent. */
  | 'reset'
  | 'timeout'
  | 'truncated'
  | 'too-large';

export type EventBody =
  | {readonly kind: 'started'}
  | {readonly kind: 'tick'}
  /* Source. */
  | {
      readonly kind: 'sourceAnswered';
      readonly head: number;
      readonly submissions: readonly Submission[];
      readonly vmList?: VmList;
    }
  | {readonly kind: 'sourceFailed'; readonly detail: string}
  /* Peers. */
  | {
      readonly kind: 'peerAsked';
      readonly requestId: string;
      readonly request: PeerRequest;
    }
  | {
      readonly kind: 'peerReplied';
      readonly address: string;
      readonly request: PeerRequest;
      readonly reply: PeerReply;
    }
  | {
      readonly kind: 'peerFailed';
      readonly address: string;
      readonly request: PeerRequest;
    }
  /* Entry. */
  | {
      readonly kind: 'callArrived';
      readonly callId: string;
      readonly call: CallInfo;
    }
  | {
      readonly kind: 'attemptAnswered';
      readonly attemptId: string;
      readonly result: Answer | Refusal;
      readonly load?: LoadReport;
    }
  | {
      readonly kind: 'attemptFailed';
      readonly attemptId: string;
      readonly failure: FailureKind;
    }
  | {readonly kind: 'callerGone'; readonly callId: string}
  /* Owner. */
  | {readonly kind: 'attemptArrived'; readonly attempt: Attempt}
  | {readonly kind: 'attemptCancelled'; readonly attemptId: string}
  | {
      readonly kind: 'upstreamAnswered';
      readonly attemptId: string;
      readonly answer: Answer;
    }
  | {
      readonly kind: 'upstreamFailed';
      readonly attemptId: string;
      readonly failure: FailureKind;
    }
  | {
      readonly kind: 'upstreamProbed';
      readonly healthy: boolean;
      readonly draining: boolean;
    }
  | {readonly kind: 'drainRequested'};

export type Event = EventBase & EventBody;

export type Effect =
  /* Source and peers. */
  | {
      readonly kind: 'watchSource';
      readonly afterSequence: number;
      readonly vmRevision: number;
      readonly waitMs: number;
    }
  | {
      readonly kind: 'askPeer';
      readonly address: string;
      readonly request: PeerRequest;
    }
  | {
      readonly kind: 'replyPeer';
      readonly requestId: string;
      readonly reply: PeerReply;
    }
  /* Entry. */
  | {
      readonly kind: 'sendAttempt';
      readonly callId: string;
      readonly address: string;
      readonly attempt: Attempt;
    }
  | {readonly kind: 'cancelAttempt'; readonly attemptId: string}
  | {
      readonly kind: 'answerCall';
      readonly callId: string;
      readonly result: Answer | Refusal;
    }
  /* Owner. */
  | {
      readonly kind: 'dispatch';
      readonly attemptId: string;
      readonly timeoutMs: number;
    }
  | {readonly kind: 'abortDispatch'; readonly attemptId: string}
  | {
      readonly kind: 'finishAttempt';
      readonly attemptId: string;
      readonly result: Answer | Refusal;
      readonly load: LoadReport;
    }
  /* Lifecycle. */
  | {readonly kind: 'drained'}
  /* Observation. */
  | {
      readonly kind: 'count';
      readonly counter: CounterName;
      readonly reason: string;
    }
  | {
      readonly kind: 'log';
      readonly level: 'info' | 'warn' | 'error';
      readonly part: PartName;
      readonly message: string;
    };

/** Names of the counters; each counter has one label, `reason`. */
export type CounterName =
  | 'call_refused'
  | 'call_retried'
  | 'attempt_refused'
  | 'submission_accepted'
  | 'submission_refused'
  | 'update_ignored'
  | 'version_adopted'
  | 'source_call'
  | 'peer_message'
  | 'digest_mismatch'
  | 'crash_suspected'
  | 'key_closed'
  | 'key_asked'
  | 'member_changed'
  | 'bad_input';

export type PartName =
  'config' | 'spread' | 'members' | 'entry' | 'owner' | 'keys' | 'crash';

/** Lowest HTTP status code of a server error. */
const MIN_SERVER_ERROR = 500;

export function isServerError({status}: Answer): boolean {
  return status >= MIN_SERVER_ERROR;
}

/** Appends an effect to the ordered effects of the current event. */
export type Emit = (effect: Effect) => void;

/**
 * Marks a switch as exhaustive. Reached only if a value does not match its
 * static type, for example after a wrong cast.
 * @param value - The value that no case handles.
 */
export function assertNever(value: never): never {
  throw new Error(
    `Unhandled case ${JSON.stringify(value)}; handle it in the switch that called assertNever.`,
  );
}
