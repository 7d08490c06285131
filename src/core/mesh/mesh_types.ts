/**
 * Events that reach the core of a fleet of self-registering upstreams, and the
 * effects that it asks for: closed unions told apart by `kind`.
 */
import {
  CallMessageKind,
  Instance,
  LinkMessage,
  MeshAttempt,
  MeshConfig,
} from '../../model/mesh.js';
import {LoadReport} from '../../model/peer.js';
import {Refusal} from '../refusals.js';
import {Answer, FailureKind} from '../types.js';

/** A caller's request, as far as decisions need it. */
export interface MeshCallInfo {
  readonly requestId: string;
  /** The request whose run made this one, where its identifier tells. */
  readonly parentId?: string;
  readonly host: string;
  readonly path: string;
  /** Time that the caller still allows, in milliseconds. */
  readonly timeoutMs?: number;
  readonly bodyBytes: number;
  /** Hash of method, path and body. */
  readonly fingerprint: string;
}

/** What to read from the source. */
export type SourceRequest =
  /** All upstreams that are registered now. */
  | {readonly kind: 'fleet'}
  /** The newest configuration. */
  | {readonly kind: 'config'}
  /** The next configuration after a revision, as soon as there is one. */
  | {
      readonly kind: 'nextConfig';
      readonly after: number;
      readonly waitMs: number;
    };

/** What a read of the source brought, and its revision then. */
export type SourceAnswer =
  | {
      readonly kind: 'fleet';
      readonly revision: number;
      readonly instances: readonly Instance[];
    }
  | {
      readonly kind: 'config';
      readonly revision: number;
      readonly config?: MeshConfig;
    }
  /** The changes asked for are no longer available. */
  | {readonly kind: 'compacted'};

/** What the cores of two proxies tell each other; the rest is about calls. */
export type PeerMessage = Exclude<LinkMessage, {kind: CallMessageKind}>;

/** What an attempt came to at its owner. */
export interface AttemptOutcome {
  readonly result: Answer | Refusal;
  readonly reachedUpstream: boolean;
  readonly load?: LoadReport;
}

/** How dispatching to the upstream failed. */
export type DispatchFailure = FailureKind | 'foreign-answer';

/** What the upstream's answer says beside its content. */
export interface AnswerFacts {
  /** The upstream says that it did not run the request. */
  readonly notRun: boolean;
  /** Another instance has the address. */
  readonly otherInstance: boolean;
}

export type MeshEventBody =
  | {readonly kind: 'started'}
  | {readonly kind: 'tick'}
  | {
      readonly kind: 'sourceAnswered';
      readonly request: SourceRequest;
      readonly answer: SourceAnswer;
    }
  | {
      readonly kind: 'sourceFailed';
      readonly request: SourceRequest;
      readonly detail: string;
    }
  | {readonly kind: 'linkClosed'; readonly address: string}
  | {
      readonly kind: 'messageReceived';
      readonly from: string;
      readonly message: PeerMessage;
      /** The configuration that a `state` message carried. */
      readonly config?: MeshConfig;
    }
  | {
      readonly kind: 'callArrived';
      readonly callId: string;
      readonly call: MeshCallInfo;
    }
  | {readonly kind: 'callerGone'; readonly callId: string}
  | {
      readonly kind: 'attemptEnded';
      readonly attemptId: string;
      readonly outcome: AttemptOutcome;
    }
  | {
      /** The link broke and could not be replaced, or nothing was sent. */
      readonly kind: 'attemptLost';
      readonly attemptId: string;
      readonly sent: boolean;
    }
  | {readonly kind: 'attemptArrived'; readonly attempt: MeshAttempt}
  | {readonly kind: 'attemptCancelled'; readonly attemptId: string}
  | {
      readonly kind: 'upstreamAnswered';
      readonly attemptId: string;
      readonly answer: Answer;
      readonly facts: AnswerFacts;
    }
  | {
      readonly kind: 'upstreamFailed';
      readonly attemptId: string;
      readonly failure: DispatchFailure;
    }
  | {readonly kind: 'connectProbed'; readonly accepted: boolean}
  | {readonly kind: 'stopRequested'};

export type MeshEvent = {
  /** Milliseconds on a clock that never runs backwards. */
  readonly at: number;
  /** A random unsigned 32-bit integer. */
  readonly entropy: number;
} & MeshEventBody;

export type MeshLogPart =
  'config' | 'source' | 'fleet' | 'entry' | 'owner' | 'crash' | 'daemon';

export type MeshCounter =
  | 'call_refused'
  | 'call_retried'
  | 'call_answered'
  | 'attempt_refused'
  | 'source_call'
  | 'version_adopted'
  | 'update_ignored'
  | 'instance_changed'
  | 'peer_message'
  | 'crash_suspected'
  | 'upstream_failed'
  | 'link_changed';

export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

export type MeshEffect =
  | {readonly kind: 'readSource'; readonly request: SourceRequest}
  /** Opens a link where there is none; each side then names itself. */
  | {readonly kind: 'openLink'; readonly to: string}
  | {
      readonly kind: 'sendMessage';
      readonly to: string;
      readonly message: PeerMessage;
      /** Sent, compressed, with a `state` message. */
      readonly config?: MeshConfig;
    }
  | {
      readonly kind: 'sendAttempt';
      readonly callId: string;
      /** The owner's link address, or undefined for this proxy's own. */
      readonly to?: string;
      readonly attempt: MeshAttempt;
    }
  | {readonly kind: 'cancelAttempt'; readonly attemptId: string}
  | {
      readonly kind: 'answerCall';
      readonly callId: string;
      readonly result: Answer | Refusal;
    }
  | {
      readonly kind: 'dispatch';
      readonly attemptId: string;
      readonly instanceId: string;
      readonly timeoutMs: number;
    }
  | {readonly kind: 'abortDispatch'; readonly attemptId: string}
  | {
      readonly kind: 'finishAttempt';
      readonly attemptId: string;
      readonly outcome: AttemptOutcome;
    }
  | {readonly kind: 'probeConnect'}
  /** Another process took over the upstream's address. */
  | {readonly kind: 'dropUpstreamConnections'}
  | {readonly kind: 'configAdopted'; readonly config: MeshConfig}
  | {readonly kind: 'stopped'}
  | {
      readonly kind: 'count';
      readonly counter: MeshCounter;
      readonly reason: string;
    }
  | {
      readonly kind: 'observe';
      readonly histogram: 'call_seconds' | 'run_seconds' | 'wait_seconds';
      readonly seconds: number;
    }
  | {
      readonly kind: 'log';
      readonly level: 'info' | 'warn' | 'error';
      readonly part: MeshLogPart;
      readonly message: string;
      readonly fields: LogFields;
    };

/** Collects the effects of one event, in order. */
export type MeshEmit = (effect: MeshEffect) => void;
