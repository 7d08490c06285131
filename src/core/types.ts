/**
 * The vocabulary of the decision core: every event that can reach it and
 * every effect that it can ask for, closed unions told apart by `kind`.
 */
import {Submission} from '../model/config.js';
import {VmList} from '../model/platform.js';
import {Attempt, LoadReport, PeerReply, PeerRequest} from '../model/peer.js';
import {Refusal} from './refusals.js';

/** A whole answer of an upstream; the core passes the body on unread. */
export interface Answer {
  readonly kind: 'answer';
  readonly status: number;
  readonly headers: Readonly<Record<string, string | readonly string[]>>;
  readonly body: Uint8Array;
  /**
   * The upstream gave no length, so that only the end of its connection ended
   * the body. It is passed on in the same way, because nobody can tell whether
   * it was cut short.
   */
  readonly unframed?: boolean;
}

/** A caller's request, as far as decisions need it. */
export interface CallInfo {
  readonly method: string;
  readonly host: string;
  readonly path: string;
  /** The caller's `Idempotency-Key`. */
  readonly key?: string;
  /** Time that the caller still allows, in milliseconds. */
  readonly timeoutMs?: number;
  /** Hash of method, path and body. */
  readonly fingerprint: string;
  /** An outer call of the same chain retries, so this layer must not. */
  readonly retriedByOuter: boolean;
}

/** Where and when an event happened; nothing else may bring time or chance. */
interface EventBase {
  /** Unix milliseconds on a clock that never runs backwards. */
  readonly at: number;
  /** A random unsigned 32-bit integer. */
  readonly entropy: number;
}

/** How sending an attempt or dispatching it failed. */
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

/** Counters by name; each has one label, the reason. */
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

/** First status by which an upstream says that it failed. */
const SERVER_ERROR = 500;

export function isServerError({status}: Answer): boolean {
  return status >= SERVER_ERROR;
}

/** Collects the effects of one event, in order. */
export type Emit = (effect: Effect) => void;

/**
 * Closes an exhaustive switch; reached only where a cast lied.
 * @param value - The value that no case took.
 */
export function assertNever(value: never): never {
  throw new Error(`Unhandled case ${JSON.stringify(value)}; add it.`);
}
