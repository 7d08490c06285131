/**
 * The vocabulary of the decision core: every event that can reach it and
 * every effect that it can ask for, closed unions told apart by `kind`.
 */
import {Submission} from '../model/config.js';
import {CatchUp, FoldState} from '../model/fold_state.js';
import {VmList} from '../model/platform.js';
import {Refusal} from './refusals.js';

/** A whole answer of an upstream; the core passes the body on unread. */
export interface Answer {
  readonly kind: 'answer';
  readonly status: number;
  readonly headers: Readonly<Record<string, string | readonly string[]>>;
  readonly body: Uint8Array;
}

/** Load of one upstream, as its owner reports it with each answer. */
export interface LoadReport {
  readonly running: number;
  readonly queued: number;
  readonly slots: number;
  readonly leaving: boolean;
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

/** One try of a call at one owner. */
export interface Attempt {
  readonly attemptId: string;
  readonly service: string;
  readonly upstreamId: string;
  /** Configuration version under which the entry chose the owner. */
  readonly version: number;
  readonly idempotent: boolean;
  /** Present for a request that must run at most once under this key. */
  readonly key?: string;
  /** The key was made by the entry, so no other entry can know it. */
  readonly privateKey: boolean;
  /** Time left when the attempt was sent, in milliseconds. */
  readonly timeoutMs: number;
  readonly fingerprint: string;
  readonly priority: 'interactive' | 'batch';
}

/** What a proxy tells its peers about one proxy of the fleet. */
export interface MemberInfo {
  readonly id: string;
  readonly zone: string;
  readonly region: string;
  readonly peerAddress: string;
  /** Start time of the process, in Unix milliseconds. */
  readonly incarnation: number;
  /** Counts up with each heartbeat of one incarnation. */
  readonly heartbeat: number;
  readonly sequence: number;
  readonly version: number;
  readonly digest: string;
  readonly leaving: boolean;
  readonly ready: boolean;
}

/** A request fingerprint that was running when an upstream crashed. */
export interface SuspectInfo {
  readonly fingerprint: string;
  /** Upstreams that crashed while running it, each named once. */
  readonly crashedAt: readonly string[];
  /** It later ran to its end, so it did not cause the crash. */
  readonly cleared: boolean;
  readonly expiresAt: number;
}

/** Control message between proxies. */
export type PeerRequest =
  | {
      readonly kind: 'gossip';
      readonly from: MemberInfo;
      readonly members: readonly MemberInfo[];
      readonly suspects: readonly SuspectInfo[];
      readonly vmList?: VmList;
      readonly vmRevision: number;
    }
  | {
      readonly kind: 'push';
      readonly fromId: string;
      readonly submissions: readonly Submission[];
    }
  | {readonly kind: 'pull'; readonly afterSequence: number}
  | {
      readonly kind: 'announce';
      readonly id: string;
      readonly sequence: number;
    }
  | {readonly kind: 'join'; readonly id: string}
  | {
      readonly kind: 'closeKey';
      readonly service: string;
      readonly key: string;
      /** `give-up`: an entry stops waiting. `moved`: another home takes over. */
      readonly cause: 'give-up' | 'moved';
      readonly version: number;
    }
  | {
      readonly kind: 'handOver';
      readonly service: string;
      readonly fromId: string;
      readonly records: readonly KeyVerdict[];
    };

/** What a home says of one key. */
export interface KeyVerdict {
  readonly key: string;
  readonly status: 'never-ran' | 'running' | 'finished' | 'in-doubt';
}

export type PeerReply =
  | {
      readonly kind: 'gossip';
      readonly from: MemberInfo;
      readonly members: readonly MemberInfo[];
      readonly suspects: readonly SuspectInfo[];
      readonly vmList?: VmList;
    }
  | {readonly kind: 'ok'}
  | {readonly kind: 'pull'; readonly catchUp: CatchUp}
  | {
      readonly kind: 'join';
      readonly ready: boolean;
      readonly sequence: number;
      /** Highest sequence that the asking proxy has announced, 0 if none. */
      readonly floor: number;
      readonly state: FoldState;
      readonly members: readonly MemberInfo[];
    }
  | {readonly kind: 'closeKey'; readonly verdict: KeyVerdict}
  | {
      readonly kind: 'refused';
      readonly code: 'not_ready' | 'behind' | 'bad_message';
      readonly detail: string;
    };

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
  | 'member_changed';

export type PartName =
  'config' | 'spread' | 'members' | 'entry' | 'owner' | 'keys' | 'crash';

/** Collects the effects of one event, in order. */
export type Emit = (effect: Effect) => void;

/**
 * Closes an exhaustive switch; reached only where a cast lied.
 * @param value - The value that no case took.
 */
export function assertNever(value: never): never {
  throw new Error(`Unhandled case ${JSON.stringify(value)}; add it.`);
}
