/** Drives the owner role of one core, and summarizes its effects. */
import {getRendezvousWinner} from '../../src/core/hashing.js';
import {REFUSALS} from '../../src/core/refusals.js';
import {Answer, Effect, FailureKind} from '../../src/core/types.js';
import {Patch, Service} from '../../src/model/config.js';
import {Attempt, KeyVerdict, PeerRequest} from '../../src/model/peer.js';
import {
  CoreFixture,
  createServicePatch,
  createSubmission,
  getPeerAddress,
  START_MS,
} from '../support/core_fixture.js';

/** Long enough after the start that every key from before it has expired. */
export const LONG_AFTER_START_MS = 120_000;

export const OK: Answer = {
  kind: 'answer',
  status: 200,
  headers: {},
  body: new Uint8Array([1]),
};

/** The proxy of upstream `desk-1`. */
export class OwnerFixture extends CoreFixture {
  private sequence = 1;

  constructor(upstreamIds: readonly string[], service: Partial<Service> = {}) {
    super('desk-1');
    this.adopt(createServicePatch(upstreamIds, service));
    this.at = START_MS + LONG_AFTER_START_MS;
  }

  /** Publishes a patch, and lets all witnesses acknowledge it until adopted. */
  publish(patch: Patch): void {
    this.sequence += 1;
    const submission = {
      ...createSubmission(this.sequence, this.state.log.active.version, patch),
      publishedAt: this.at,
    };
    this.reduce({
      kind: 'sourceAnswered',
      head: this.sequence,
      submissions: [submission],
    });
    for (const round of [1, 2] as const) {
      for (let n = 1; n < 10; n += 1) {
        this.reduce({
          kind: 'peerReplied',
          address: getPeerAddress(`desk-${n}`),
          request: {kind: 'announce', sequence: this.sequence, round},
          reply: {kind: 'announce', incarnation: START_MS},
        });
      }
    }
  }

  /** Delivers an attempt to the owner. */
  attempt(attemptId: string, changes: Partial<Attempt> = {}): string[] {
    const attempt: Attempt = {
      attemptId,
      service: 'desk',
      upstreamId: this.state.settings.id,
      version: this.state.log.active.version,
      idempotent: changes.key === undefined,
      privateKey: false,
      timeoutMs: 1_000,
      fingerprint: 'f',
      suspect: false,
      priority: 'interactive',
      ...changes,
    };
    return describeEffects(this.reduce({kind: 'attemptArrived', attempt}));
  }

  answer(attemptId: string, answer: Answer = OK): string[] {
    return describeEffects(
      this.reduce({kind: 'upstreamAnswered', attemptId, answer}),
    );
  }

  fail(attemptId: string, failure: FailureKind): string[] {
    return describeEffects(
      this.reduce({kind: 'upstreamFailed', attemptId, failure}),
    );
  }

  cancel(attemptId: string): string[] {
    return describeEffects(this.reduce({kind: 'attemptCancelled', attemptId}));
  }

  tick(): string[] {
    return describeEffects(this.reduce({kind: 'tick'}));
  }

  /** Delivers a peer's request to close a key. */
  close(
    key: string,
    attemptId: string,
    cause: 'give-up' | 'moved' = 'give-up',
    version = this.state.log.active.version,
  ): string[] {
    const request: PeerRequest = {
      kind: 'closeKey',
      service: 'desk',
      key,
      attemptId,
      cause,
      version,
    };
    return describeEffects(
      this.reduce({kind: 'peerAsked', requestId: 'r', request}),
    );
  }

  /** Delivers a former holder's verdict, or the failure to get one. */
  replyAsFormerHolder(
    holderId: string,
    key: string,
    attemptId: string,
    status?: KeyVerdict['status'],
  ): string[] {
    const address = getPeerAddress(holderId);
    const request: PeerRequest = {
      kind: 'closeKey',
      service: 'desk',
      key,
      attemptId,
      cause: 'moved',
      version: this.state.log.active.version,
    };
    const effects =
      status === undefined
        ? this.reduce({kind: 'peerFailed', address, request})
        : this.reduce({
            kind: 'peerReplied',
            address,
            request,
            reply: {kind: 'closeKey', verdict: {key, status}},
          });
    return describeEffects(effects);
  }
}

/**
 * Describes each effect in one line, and omits gossip and source calls.
 * @param effects - The effects.
 * @returns The lines.
 */
export function describeEffects(effects: readonly Effect[]): string[] {
  return effects.flatMap(effect => {
    switch (effect.kind) {
      case 'dispatch':
        return `dispatch ${effect.attemptId}`;
      case 'abortDispatch':
        return `abort ${effect.attemptId}`;
      case 'finishAttempt':
        return `${effect.attemptId}: ${describeResult(effect.result)}`;
      case 'answerCall':
        return `${effect.callId}: ${describeResult(effect.result)}`;
      case 'sendAttempt':
        return `send ${effect.attempt.attemptId} to ${effect.attempt.upstreamId}`;
      case 'askPeer':
        return effect.request.kind === 'closeKey' ||
          effect.request.kind === 'handOver'
          ? `ask ${effect.address} ${effect.request.kind}`
          : [];
      case 'replyPeer':
        return effect.reply.kind === 'closeKey'
          ? `verdict ${effect.reply.verdict.status}`
          : [];
      default:
        return [];
    }
  });
}

function describeResult(
  result: Extract<Effect, {kind: 'answerCall'}>['result'],
): string {
  return result.kind === 'answer'
    ? `answer ${result.status}`
    : `${result.reason} (${result.outcome}, ${REFUSALS[result.reason].status})`;
}

/**
 * Finds a key with given holders under several sets of upstreams.
 * @param holders - Each set of upstreams, with the key's holder among them.
 * @returns The key.
 */
export function findKey(
  holders: ReadonlyArray<readonly [readonly string[], string]>,
): string {
  for (let n = 0; ; n += 1) {
    const key = `key-${n}`;
    if (holders.every(([ids, id]) => getRendezvousWinner(key, ids) === id)) {
      return key;
    }
  }
}

/** Creates a UUIDv7 with the given time and otherwise fixed digits. */
export function createUuidV7Key(at: number): string {
  const hex = at.toString(16).padStart(12, '0');
  return `${hex.slice(0, 8)}-${hex.slice(8)}-7000-8000-000000000000`;
}

/**
 * Creates a patch that removes upstreams.
 * @param ids - The upstreams.
 * @returns The patch.
 */
export function createRemoval(...ids: readonly string[]): Patch {
  return {upstreams: Object.fromEntries(ids.map(id => [id, null]))};
}

/**
 * Creates a patch that adds upstreams to the service.
 * @param ids - The upstreams.
 * @returns The patch.
 */
export function createAddition(...ids: readonly string[]): Patch {
  return {upstreams: createServicePatch(ids).upstreams};
}
