/**
 * Input events and output effects of the core of a proxy whose upstreams
 * register themselves: closed unions, discriminated by `kind`.
 */
import {
  CallMessageKind,
  Evacuation,
  Instance,
  LaterChanges,
  LinkMessage,
  MeshAttempt,
  MeshConfig,
} from '../../model/mesh.js';
import {LoadReport} from '../../model/peer.js';
import {Refusal} from '../refusals.js';
import {Answer, FailureKind} from '../types.js';
import {UnconfirmedTimes} from './caller_presence.js';
import {LinkBytes} from './link_load.js';

/** The parts of a caller's request that the core decides by. */
export interface MeshCallInfo {
  readonly requestId: string;
  /**
   * Identifier of the request whose run made this one, where the request's own
   * identifier contains it.
   */
  readonly parentId?: string;
  readonly host: string;
  readonly path: string;
  /** Time until the caller's deadline, in milliseconds. */
  readonly timeoutMs?: number;
  readonly bodyBytes: number;
  /** Hash of method, path and body; identifies requests that crash upstreams. */
  readonly fingerprint: string;
}

/** A read of the source. */
export type SourceRequest =
  /** All upstreams that are registered now. */
  | {
      readonly kind: 'fleet';
      /** The answer may be seconds old, which costs the source less. */
      readonly mayBeStale: boolean;
    }
  /** The latest configuration. */
  | {readonly kind: 'config'}
  /** A long poll for the first configuration after a revision. */
  | {
      readonly kind: 'nextConfig';
      readonly after: number;
      readonly waitMs: number;
    };

/** What a read shows of evacuated zones. */
export interface EvacuationReading {
  /** Zones that are not listed were not evacuated at `revision`. */
  readonly complete: boolean;
  readonly revision: number;
  readonly changes: readonly Evacuation[];
}

/** Result of a read, with the source's position at the time of the read. */
export type SourceAnswer =
  | {
      readonly kind: 'fleet';
      /** No change up to this revision is missing from the list. */
      readonly revision: number;
      readonly instances: readonly Instance[];
      /** What was changed while the list was read, as far as it shows. */
      readonly later?: LaterChanges;
    }
  | {
      readonly kind: 'config';
      /** With a configuration: no earlier one can be missed. */
      readonly revision: number;
      readonly config?: MeshConfig;
      readonly evacuations?: EvacuationReading;
    }
  /**
   * The source has no history after the requested position: it has discarded
   * it, or was restored.
   */
  | {readonly kind: 'compacted'};

/** Messages that the core handles; the link layer handles those of calls. */
export type PeerMessage = Exclude<LinkMessage, {kind: CallMessageKind}>;

/** Result of an attempt at its owner. */
export interface AttemptOutcome {
  readonly result: Answer | Refusal;
  readonly reachedUpstream: boolean;
  readonly load?: LoadReport;
}

/**
 * Why a dispatch to the upstream failed. `foreign-answer`: another instance
 * answered at the upstream's address.
 */
export type DispatchFailure = FailureKind | 'foreign-answer';

/** What the headers of an answer say of the upstream itself. */
export interface UpstreamReport {
  /**
   * Requests per second that the upstream accepts from all proxies together;
   * undefined: it names no limit.
   */
  readonly limitPerSecond?: number | 'unreadable';
  /** The upstream is about to end and is to get no new work. */
  readonly leaving: boolean;
}

/** What the status and the headers of the upstream's answer report. */
export interface AnswerFacts {
  /** The upstream reports that it did not execute the request. */
  readonly notRun: boolean;
  /** When the upstream suggests to repeat a request that it rejected. */
  readonly retryAfterMs?: number;
  /** Another instance than the addressed one has the address. */
  readonly otherInstance: boolean;
  /** Undefined if the answer is not known to come from the upstream. */
  readonly report?: UpstreamReport;
}

/** Why an owner does not receive the body of an attempt. */
export type UnreceivedReason = 'memory_full' | 'link_saturated';

export type MeshEventBody =
  | {
      readonly kind: 'started';
      /** Time since the process was started, in milliseconds. */
      readonly bootMs?: number;
    }
  | {
      readonly kind: 'tick';
      readonly linkBytes: LinkBytes;
      /**
       * Bytes of answers to callers and peers that are still to be written, while the
       * proxy stops; absent: none.
       */
      readonly unsentBytes?: number;
    }
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
      /** The configuration in the body of a `state` message. */
      readonly config?: MeshConfig;
    }
  | {
      readonly kind: 'callArrived';
      readonly callId: string;
      readonly call: MeshCallInfo;
      /** Time from its head to its last byte, in milliseconds; absent: none. */
      readonly receiveMs?: number;
      /** Time for which it is known to have lain unread; absent: none. */
      readonly unreadMs?: number;
    }
  | {readonly kind: 'callerGone'; readonly callId: string}
  | {
      readonly kind: 'attemptEnded';
      readonly attemptId: string;
      readonly outcome: AttemptOutcome;
    }
  | {
      /**
       * No link could be opened, or it broke and the owner's process could not
       * be reached again.
       */
      readonly kind: 'attemptLost';
      readonly attemptId: string;
      /**
       * False where no link could be opened, or it broke before the owner had
       * received the whole request.
       */
      readonly sent: boolean;
    }
  | {
      readonly kind: 'attemptArrived';
      readonly attempt: MeshAttempt;
      /** Time since it was sent, at least; absent: none. */
      readonly ageMs?: number;
      /**
       * Longest time for which its caller may have left unnoticed; absent: whoever
       * posts this reports each departure without delay.
       */
      readonly unconfirmedMs?: number;
      /** Why its request was not received; absent: it was. */
      readonly unreceived?: UnreceivedReason;
    }
  | {
      /** An entry asks whether it is to send an attempt with a large body. */
      readonly kind: 'attemptOffered';
      readonly attempt: MeshAttempt;
      /** Time since it was sent, at least, in milliseconds. */
      readonly ageMs: number;
      /** Time that other bodies take which arrive before its own, in milliseconds. */
      readonly aheadMs: number;
      /** Time that its own body takes, in milliseconds. */
      readonly ownMs: number;
    }
  | {
      /** Entries have confirmed the callers of waiting attempts. */
      readonly kind: 'callersConfirmed';
      readonly unconfirmedMs: UnconfirmedTimes;
    }
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
      /** Present if the answer failed after its headers had arrived. */
      readonly report?: UpstreamReport;
    }
  | {readonly kind: 'connectProbed'; readonly accepted: boolean}
  | {readonly kind: 'stopRequested'};

export type MeshEvent = {
  /** Time of the event on a monotonic clock, in milliseconds. */
  readonly at: number;
  /** A random unsigned 32-bit integer. */
  readonly entropy: number;
} & MeshEventBody;

/** Component names in log records. */
export type MeshLogPart =
  'config' | 'source' | 'fleet' | 'entry' | 'owner' | 'crash' | 'daemon';

export type MeshCounter =
  | 'call_refused'
  | 'call_retried'
  | 'call_answered'
  | 'attempt_refused'
  | 'late_read'
  | 'source_call'
  | 'stop_cut'
  | 'version_adopted'
  | 'update_ignored'
  | 'update_repaired'
  | 'instance_changed'
  | 'zone_changed'
  | 'peer_message'
  | 'poller_excluded'
  | 'crash_suspected'
  | 'upstream_failed'
  | 'upstream_report'
  | 'cold_limit'
  | 'link_changed';

/** Counters by route and outcome. */
export type RouteCounter = 'route_calls' | 'route_refusals';

export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

export type MeshEffect =
  | {readonly kind: 'readSource'; readonly request: SourceRequest}
  /** Opens a link where none is open; both sides then send `hello`. */
  | {readonly kind: 'openLink'; readonly to: string}
  | {
      readonly kind: 'sendMessage';
      readonly to: string;
      readonly message: PeerMessage;
      /** Sent compressed in the body of a `state` message. */
      readonly config?: MeshConfig;
    }
  | {
      readonly kind: 'sendAttempt';
      readonly callId: string;
      /** Link address of the owner; undefined: this proxy is the owner. */
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
  /** Closes pooled connections: another process has the upstream's address. */
  | {readonly kind: 'dropUpstreamConnections'}
  | {readonly kind: 'configAdopted'; readonly config: MeshConfig}
  | {readonly kind: 'stopped'}
  | {
      readonly kind: 'count';
      readonly counter: MeshCounter;
      readonly reason: string;
    }
  | {
      readonly kind: 'countRoute';
      readonly counter: RouteCounter;
      readonly route: string;
      /** Whether it was in time, or why it was refused. */
      readonly outcome: string;
    }
  | {
      readonly kind: 'observe';
      readonly histogram:
        | 'call_seconds'
        | 'run_seconds'
        | 'wait_seconds'
        | 'version_delay_seconds';
      readonly seconds: number;
    }
  | {
      readonly kind: 'log';
      readonly level: 'info' | 'warn' | 'error';
      readonly part: MeshLogPart;
      readonly message: string;
      readonly fields: LogFields;
    };

/** Appends an effect to those of the current event, in order. */
export type MeshEmit = (effect: MeshEffect) => void;
