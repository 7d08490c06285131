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
import {LinkManager} from './link_manager.js';

/** Time that an entry has to ask again after its link broke. */
const RESUME_GRACE_MS = 800;

/** Tries to reach an owner again before an attempt counts as lost. */
const MAX_RESUME_TRIES = 3;

/** Ended attempts whose outcome is kept for an entry that asks again. */
const MAX_KEPT_OUTCOMES = 256;

/**
 * Attempts that are remembered by name: at 100 a second they outlast every
 * deadline, so one that is not among them was never taken.
 */
const MAX_SEEN_IDS = 20_000;

interface SentAttempt {
  readonly to: string;
  readonly attempt: MeshAttempt;
  /** Start of the owner's process to which it was sent. */
  incarnation: number;
  link?: Link;
}

interface ReceivedAttempt {
  readonly attempt: MeshAttempt;
  readonly outbound: OutboundRequest;
  /** The entry's link, or undefined for this proxy's own entry. */
  link?: Link;
}

type AttemptMessage = Extract<LinkMessage, {kind: 'attempt'}>;
type OutcomeMessage = Extract<LinkMessage, {kind: 'answer' | 'refusal'}>;

export class AttemptTransport {
  private readonly sent = new Map<string, SentAttempt>();
  private readonly received = new Map<string, ReceivedAttempt>();
  private readonly keptOutcomes = new Map<string, AttemptOutcome>();
  /** Attempts that were taken, or must never be. */
  private readonly seenIds = new Set<string>();

  constructor(
    private readonly links: LinkManager,
    private readonly post: (event: MeshEventBody) => void,
  ) {}

  /** Finds the request of an attempt that this owner has taken. */
  getReceived(attemptId: string): ReceivedAttempt | undefined {
    return this.received.get(attemptId);
  }

  /** Hands an attempt to this proxy's own owner. */
  receiveLocal(attempt: MeshAttempt, outbound: OutboundRequest): void {
    this.received.set(attempt.attemptId, {attempt, outbound});
    this.post({kind: 'attemptArrived', attempt});
  }

  /** Sends an attempt to the owner at an address. */
  async send(
    to: string,
    attempt: MeshAttempt,
    outbound: OutboundRequest,
  ): Promise<void> {
    const {attemptId} = attempt;
    const sentAttempt: SentAttempt = {to, attempt, incarnation: 0};
    this.sent.set(attemptId, sentAttempt);
    const openedAt = performance.now();
    const link = this.links.find(to) ?? (await this.links.open(to));
    if (this.sent.get(attemptId) !== sentAttempt) {
      return;
    }
    if (link === undefined || link.closed) {
      this.sent.delete(attemptId);
      this.post({kind: 'attemptLost', attemptId, sent: false});
      return;
    }
    this.attachLink(sentAttempt, link);
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

  private attachLink(sentAttempt: SentAttempt, link: Link): void {
    sentAttempt.link = link;
    sentAttempt.incarnation = link.peer?.incarnation ?? 0;
    link.pendingAnswers += 1;
  }

  private detachLink(sentAttempt: SentAttempt): void {
    if (sentAttempt.link !== undefined) {
      sentAttempt.link.pendingAnswers -= 1;
      sentAttempt.link = undefined;
    }
  }

  /** Breaks off an attempt, wherever it is. */
  cancel(attemptId: string): void {
    const sentAttempt = this.sent.get(attemptId);
    if (sentAttempt !== undefined) {
      this.sent.delete(attemptId);
      sentAttempt.link?.send({kind: 'cancel', attemptId});
      this.detachLink(sentAttempt);
      return;
    }
    if (this.received.has(attemptId)) {
      this.cancelReceived(attemptId);
    }
  }

  private cancelReceived(attemptId: string): void {
    // The core looks the request up while it stops the work.
    this.post({kind: 'attemptCancelled', attemptId});
    this.received.delete(attemptId);
  }

  /** Gives an attempt its outcome. */
  finish(attemptId: string, outcome: AttemptOutcome): void {
    const receivedAttempt = this.received.get(attemptId);
    this.received.delete(attemptId);
    if (receivedAttempt === undefined) {
      return;
    }
    if (receivedAttempt.link === undefined) {
      this.post({kind: 'attemptEnded', attemptId, outcome});
      return;
    }
    this.keepOutcome(attemptId, outcome);
    sendOutcome(receivedAttempt.link, attemptId, outcome);
  }

  private keepOutcome(attemptId: string, outcome: AttemptOutcome): void {
    this.keptOutcomes.set(attemptId, outcome);
    if (this.keptOutcomes.size > MAX_KEPT_OUTCOMES) {
      const [oldest] = this.keptOutcomes.keys();
      this.keptOutcomes.delete(oldest);
    }
  }

  private markSeen(attemptId: string): void {
    this.seenIds.add(attemptId);
    if (this.seenIds.size > MAX_SEEN_IDS) {
      const [oldest] = this.seenIds;
      this.seenIds.delete(oldest);
    }
  }

  /** Takes a message about an attempt. */
  handleMessage(link: Link, message: LinkMessage, body: Uint8Array): void {
    switch (message.kind) {
      case 'attempt':
        return this.handleAttempt(link, message, body);
      case 'cancel':
        return this.handleCancel(message.attemptId);
      case 'resume':
        return this.handleResume(link, message.attemptId);
      case 'answer':
      case 'refusal':
        return this.handleOutcome(message, body);
      default:
        return;
    }
  }

  private handleAttempt(
    link: Link,
    message: AttemptMessage,
    body: Uint8Array,
  ): void {
    const {attempt, method, path, headers} = message;
    const {attemptId} = attempt;
    if (this.seenIds.has(attemptId)) {
      return;
    }
    this.markSeen(attemptId);
    const outbound = {method, path, headers, body};
    this.received.set(attemptId, {attempt, outbound, link});
    this.post({kind: 'attemptArrived', attempt});
  }

  private handleCancel(attemptId: string): void {
    if (this.received.has(attemptId)) {
      this.cancelReceived(attemptId);
    }
    this.markSeen(attemptId);
  }

  private handleResume(link: Link, attemptId: string): void {
    const receivedAttempt = this.received.get(attemptId);
    if (receivedAttempt !== undefined) {
      receivedAttempt.link = link;
      return;
    }
    const outcome = this.keptOutcomes.get(attemptId);
    if (outcome !== undefined) {
      sendOutcome(link, attemptId, outcome);
      return;
    }
    const reachedUpstream = this.seenIds.has(attemptId);
    // If it was lost on the way and still comes, it must not run.
    this.markSeen(attemptId);
    const result = createRefusal(
      reachedUpstream ? 'attempt_lost' : 'upstream_down',
    );
    sendOutcome(link, attemptId, {result, reachedUpstream});
  }

  private handleOutcome(message: OutcomeMessage, body: Uint8Array): void {
    const {attemptId} = message;
    const sentAttempt = this.sent.get(attemptId);
    if (sentAttempt === undefined) {
      return;
    }
    this.sent.delete(attemptId);
    this.detachLink(sentAttempt);
    const outcome = readOutcome(message, body);
    this.post({kind: 'attemptEnded', attemptId, outcome});
  }

  /** Deals with what was under way on a link that has closed. */
  handleLinkClosed(link: Link): void {
    for (const [attemptId, sentAttempt] of this.sent) {
      if (sentAttempt.link === link) {
        this.detachLink(sentAttempt);
        void this.resume(attemptId, sentAttempt);
      }
    }
    for (const [attemptId, receivedAttempt] of this.received) {
      if (receivedAttempt.link === link) {
        setTimeout(() => {
          if (this.received.get(attemptId)?.link === link) {
            this.cancelReceived(attemptId);
          }
        }, RESUME_GRACE_MS);
      }
    }
  }

  private async resume(
    attemptId: string,
    sentAttempt: SentAttempt,
  ): Promise<void> {
    const maxTries = sentAttempt.attempt.idempotent ? 1 : MAX_RESUME_TRIES;
    let link: Link | undefined;
    for (let tries = 0; tries < maxTries && link === undefined; tries += 1) {
      link = await this.links.open(sentAttempt.to);
    }
    if (this.sent.get(attemptId) !== sentAttempt) {
      return;
    }
    const isSameProcess =
      link?.closed === false &&
      link.peer?.incarnation === sentAttempt.incarnation;
    if (link === undefined || !isSameProcess) {
      // A later process knows nothing of what an earlier one dispatched.
      this.sent.delete(attemptId);
      this.post({kind: 'attemptLost', attemptId, sent: true});
      return;
    }
    this.attachLink(sentAttempt, link);
    link.send({kind: 'resume', attemptId});
  }
}

function sendOutcome(
  link: Link,
  attemptId: string,
  {result, reachedUpstream, load}: AttemptOutcome,
): void {
  const reportedLoad = load ?? {
    running: 0,
    queued: 0,
    slots: 0,
    leaving: false,
  };
  if (result.kind === 'answer') {
    const {status, body, unframed} = result;
    const headers = result.headers as Record<string, string | string[]>;
    const message = {kind: 'answer', attemptId, status, headers} as const;
    link.send({...message, unframed, load: reportedLoad}, body);
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
    load: reportedLoad,
  });
}

function readOutcome(
  message: OutcomeMessage,
  body: Uint8Array,
): AttemptOutcome {
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
