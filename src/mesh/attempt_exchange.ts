/**
 * Carries attempts between entries and owners. A link may break while the
 * owner works on; the entry then asks over a new link what became of each
 * attempt, so that no run is repeated and no answer is lost with the link.
 */
import {createRefusal, isRefusalReason} from '../core/refusals.js';
import {AttemptOutcome, MeshEventBody} from '../core/mesh/mesh_types.js';
import {LinkMessage, MeshAttempt} from '../model/mesh.js';
import {OutboundRequest} from '../proxy/pending_calls.js';
import {Link} from './link.js';
import {LinkHub} from './link_hub.js';

/** Time that an entry has to ask again after its link broke. */
const RESUME_WITHIN_MS = 800;

/** Tries to reach an owner again before an attempt counts as lost. */
const RESUME_TRIES = 3;

/** Ended attempts whose outcome is kept for an entry that asks again. */
const MAX_KEPT_OUTCOMES = 256;

/**
 * Attempts that are remembered by name: at 100 a second they outlast every
 * deadline, so one that is not among them was never taken.
 */
const MAX_SEEN = 20_000;

interface SentAttempt {
  readonly to: string;
  readonly attempt: MeshAttempt;
  /** Start of the owner's process to which it was sent. */
  incarnation: number;
  link?: Link;
}

interface TakenAttempt {
  readonly attempt: MeshAttempt;
  readonly outbound: OutboundRequest;
  /** The entry's link, or undefined for this proxy's own entry. */
  link?: Link;
}

type AttemptMessage = Extract<LinkMessage, {kind: 'attempt'}>;
type EndMessage = Extract<LinkMessage, {kind: 'answer' | 'refusal'}>;

export class AttemptExchange {
  private readonly sent = new Map<string, SentAttempt>();
  private readonly taken = new Map<string, TakenAttempt>();
  private readonly kept = new Map<string, AttemptOutcome>();
  /** Attempts that were taken, or must never be. */
  private readonly seen = new Set<string>();

  constructor(
    private readonly hub: LinkHub,
    private readonly post: (event: MeshEventBody) => void,
  ) {}

  /** Finds the request of an attempt that this owner has taken. */
  getTaken(attemptId: string): TakenAttempt | undefined {
    return this.taken.get(attemptId);
  }

  /** Hands an attempt to this proxy's own owner. */
  takeOwn(attempt: MeshAttempt, outbound: OutboundRequest): void {
    this.taken.set(attempt.attemptId, {attempt, outbound});
    this.post({kind: 'attemptArrived', attempt});
  }

  /** Sends an attempt to the owner at an address. */
  async send(
    to: string,
    attempt: MeshAttempt,
    outbound: OutboundRequest,
  ): Promise<void> {
    const {attemptId} = attempt;
    const entry: SentAttempt = {to, attempt, incarnation: 0};
    this.sent.set(attemptId, entry);
    const openedAt = performance.now();
    const link = this.hub.find(to) ?? (await this.hub.open(to));
    if (this.sent.get(attemptId) !== entry) {
      return;
    }
    if (link === undefined || link.closed) {
      this.sent.delete(attemptId);
      this.post({kind: 'attemptLost', attemptId, sent: false});
      return;
    }
    this.bind(entry, link);
    const spentMs = performance.now() - openedAt;
    const {method, path, headers, body} = outbound;
    const message: LinkMessage = {
      kind: 'attempt',
      attempt: {
        ...attempt,
        aimMs: attempt.aimMs - spentMs,
        timeoutMs: Math.max(0, attempt.timeoutMs - spentMs),
      },
      method,
      path,
      headers,
    };
    link.send(message, body);
  }

  private bind(entry: SentAttempt, link: Link): void {
    entry.link = link;
    entry.incarnation = link.peer?.incarnation ?? 0;
    link.owed += 1;
  }

  private unbind(entry: SentAttempt): void {
    if (entry.link !== undefined) {
      entry.link.owed -= 1;
      entry.link = undefined;
    }
  }

  /** Breaks off an attempt, wherever it is. */
  cancel(attemptId: string): void {
    const entry = this.sent.get(attemptId);
    if (entry !== undefined) {
      this.sent.delete(attemptId);
      entry.link?.send({kind: 'cancel', attemptId});
      this.unbind(entry);
      return;
    }
    if (this.taken.has(attemptId)) {
      this.drop(attemptId);
    }
  }

  private drop(attemptId: string): void {
    // The core looks the request up while it stops the work.
    this.post({kind: 'attemptCancelled', attemptId});
    this.taken.delete(attemptId);
  }

  /** Gives an attempt its outcome. */
  finish(attemptId: string, outcome: AttemptOutcome): void {
    const entry = this.taken.get(attemptId);
    this.taken.delete(attemptId);
    if (entry === undefined) {
      return;
    }
    if (entry.link === undefined) {
      this.post({kind: 'attemptEnded', attemptId, outcome});
      return;
    }
    this.keep(attemptId, outcome);
    sendOutcome(entry.link, attemptId, outcome);
  }

  private keep(attemptId: string, outcome: AttemptOutcome): void {
    this.kept.set(attemptId, outcome);
    if (this.kept.size > MAX_KEPT_OUTCOMES) {
      const [oldest] = this.kept.keys();
      this.kept.delete(oldest);
    }
  }

  private remember(attemptId: string): void {
    this.seen.add(attemptId);
    if (this.seen.size > MAX_SEEN) {
      const [oldest] = this.seen;
      this.seen.delete(oldest);
    }
  }

  /** Takes a message about an attempt. */
  takeMessage(link: Link, message: LinkMessage, body: Uint8Array): void {
    switch (message.kind) {
      case 'attempt':
        return this.takeAttempt(link, message, body);
      case 'cancel':
        return this.takeCancel(message.attemptId);
      case 'resume':
        return this.takeResume(link, message.attemptId);
      case 'answer':
      case 'refusal':
        return this.takeEnd(message, body);
      default:
        return;
    }
  }

  private takeAttempt(
    link: Link,
    message: AttemptMessage,
    body: Uint8Array,
  ): void {
    const {attempt, method, path, headers} = message;
    const {attemptId} = attempt;
    if (this.seen.has(attemptId)) {
      return;
    }
    this.remember(attemptId);
    const outbound = {method, path, headers, body};
    this.taken.set(attemptId, {attempt, outbound, link});
    this.post({kind: 'attemptArrived', attempt});
  }

  private takeCancel(attemptId: string): void {
    if (this.taken.has(attemptId)) {
      this.drop(attemptId);
    }
    this.remember(attemptId);
  }

  private takeResume(link: Link, attemptId: string): void {
    const entry = this.taken.get(attemptId);
    if (entry !== undefined) {
      entry.link = link;
      return;
    }
    const outcome = this.kept.get(attemptId);
    if (outcome !== undefined) {
      sendOutcome(link, attemptId, outcome);
      return;
    }
    const reachedUpstream = this.seen.has(attemptId);
    // If it was lost on the way and still comes, it must not run.
    this.remember(attemptId);
    const result = createRefusal(
      reachedUpstream ? 'attempt_lost' : 'upstream_down',
    );
    sendOutcome(link, attemptId, {result, reachedUpstream});
  }

  private takeEnd(message: EndMessage, body: Uint8Array): void {
    const {attemptId} = message;
    const entry = this.sent.get(attemptId);
    if (entry === undefined) {
      return;
    }
    this.sent.delete(attemptId);
    this.unbind(entry);
    const outcome = readOutcome(message, body);
    this.post({kind: 'attemptEnded', attemptId, outcome});
  }

  /** Deals with what was under way on a link that has closed. */
  takeClosed(link: Link): void {
    for (const [attemptId, entry] of this.sent) {
      if (entry.link === link) {
        this.unbind(entry);
        void this.resume(attemptId, entry);
      }
    }
    for (const [attemptId, entry] of this.taken) {
      if (entry.link === link) {
        setTimeout(() => {
          if (this.taken.get(attemptId)?.link === link) {
            this.drop(attemptId);
          }
        }, RESUME_WITHIN_MS);
      }
    }
  }

  private async resume(attemptId: string, entry: SentAttempt): Promise<void> {
    const tries = entry.attempt.idempotent ? 1 : RESUME_TRIES;
    let link: Link | undefined;
    for (let n = 0; n < tries && link === undefined; n += 1) {
      link = await this.hub.open(entry.to);
    }
    if (this.sent.get(attemptId) !== entry) {
      return;
    }
    const isSame =
      link?.closed === false && link.peer?.incarnation === entry.incarnation;
    if (link === undefined || !isSame) {
      // A later process knows nothing of what an earlier one dispatched.
      this.sent.delete(attemptId);
      this.post({kind: 'attemptLost', attemptId, sent: true});
      return;
    }
    this.bind(entry, link);
    link.send({kind: 'resume', attemptId});
  }
}

function sendOutcome(
  link: Link,
  attemptId: string,
  {result, reachedUpstream, load}: AttemptOutcome,
): void {
  const report = load ?? {running: 0, queued: 0, slots: 0, leaving: false};
  if (result.kind === 'answer') {
    const {status, body, unframed} = result;
    const headers = result.headers as Record<string, string | string[]>;
    const message = {kind: 'answer', attemptId, status, headers} as const;
    link.send({...message, unframed, load: report}, body);
    return;
  }
  const {reason, outcome, retryAfterMs} = result;
  link.send({
    kind: 'refusal',
    attemptId,
    reason,
    outcome,
    retryAfterMs,
    reachedUpstream,
    load: report,
  });
}

function readOutcome(message: EndMessage, body: Uint8Array): AttemptOutcome {
  const {load} = message;
  if (message.kind === 'answer') {
    const {status, headers, unframed} = message;
    const result = {kind: 'answer', status, headers, body, unframed} as const;
    return {result, reachedUpstream: true, load};
  }
  const {reason, outcome, retryAfterMs, reachedUpstream} = message;
  // A newer build may refuse for a reason that this one does not know.
  const known = isRefusalReason(reason) ? reason : 'attempt_lost';
  return {
    result: {kind: 'refusal', reason: known, outcome, retryAfterMs},
    reachedUpstream,
    load,
  };
}
