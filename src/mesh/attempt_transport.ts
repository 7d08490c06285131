/**
 * Sends attempts from entries to owners and returns their outcomes. A link may
 * break while the owner is still working. The entry then opens a new link and
 * asks for the outcome of each attempt, so that no attempt runs twice and no
 * answer is lost with the link.
 */
import {createRefusal} from '../core/refusals.js';
import {ASK_AFTER_MS} from '../core/mesh/caller_presence.js';
import {
  AttemptOutcome,
  MeshEventBody,
  UnreceivedReason,
} from '../core/mesh/mesh_types.js';
import {roundToHundredths} from '../core/mesh/rounding.js';
import {AttemptMessage, LinkMessage, MeshAttempt} from '../model/mesh.js';
import {MAX_ORDINARY_BYTES, MemoryBudget} from '../proxy/memory_budget.js';
import {MemoryHold} from '../proxy/memory_hold.js';
import {OutboundRequest} from '../proxy/pending_calls.js';
import {BodyClaim, createAttemptClaim} from './body_pacer.js';
import {countRequestBytes} from './held_bytes.js';
import {KeptOutcome, KeptOutcomes} from './kept_outcomes.js';
import {BodyArrival, Link} from './link.js';
import {LinkManager} from './link_manager.js';
import {OutcomeMessage, readOutcome, sendOutcome} from './outcome_messages.js';
import {ReadDelays} from './turn_clock.js';

/**
 * Time after a link closes in which the entry may resume its attempts before
 * the owner cancels them.
 */
const RESUME_GRACE_MS = 800;

/**
 * Number of tries to reconnect to the owner before a non-idempotent attempt
 * counts as lost; an idempotent attempt gets one.
 */
const MAX_RESUME_TRIES = 3;

/**
 * Number of attempt ids that an owner remembers. At 100 attempts per second an
 * id is kept for 200 s, longer than any deadline, so an attempt whose id is
 * absent was never received.
 */
const MAX_SEEN_IDS = 20_000;

const EMPTY_BODY = new Uint8Array(0);

interface SentAttempt {
  readonly to: string;
  readonly attempt: MeshAttempt;
  /** Incarnation of the owner that the attempt was sent to; 0 before that. */
  incarnation: number;
  link?: Link;
}

interface ReceivedAttempt {
  readonly attempt: MeshAttempt;
  /** Claim of its answer. */
  readonly claim: BodyClaim;
  readonly outbound: OutboundRequest;
  /** Counts the request; that of a local attempt counts at its caller. */
  readonly hold: MemoryHold;
  /** The entry's link; undefined if this proxy is also the entry. */
  link?: Link;
}

/** Tracks attempts that this proxy has sent as entry or received as owner. */
export class AttemptTransport {
  private readonly sent = new Map<string, SentAttempt>();
  private readonly received = new Map<string, ReceivedAttempt>();
  private readonly keptOutcomes: KeptOutcomes;
  /** Ids of attempts that were received, or must not run if they arrive. */
  private readonly seenIds = new Set<string>();

  constructor(
    private readonly links: LinkManager,
    private readonly post: (event: MeshEventBody) => void,
    private readonly delays: ReadDelays,
    private readonly budget: MemoryBudget,
  ) {
    this.keptOutcomes = new KeptOutcomes(budget);
  }

  /** Returns a received attempt that has not ended. */
  getReceived(attemptId: string): ReceivedAttempt | undefined {
    return this.received.get(attemptId);
  }

  /** Delivers an attempt for which this proxy is both entry and owner. */
  receiveLocal(attempt: MeshAttempt, outbound: OutboundRequest): void {
    const claim = createAttemptClaim(attempt);
    const hold = new MemoryHold(this.budget);
    this.received.set(attempt.attemptId, {attempt, claim, outbound, hold});
    const unconfirmedMs = this.delays.getBehindMs();
    this.post({kind: 'attemptArrived', attempt, unconfirmedMs});
  }

  /**
   * Gets the longest time for which the callers of received attempts may have left
   * unnoticed, and asks their entries for more recent news.
   * @param attemptIds - The attempts.
   */
  confirmCallers(attemptIds: readonly string[]): Map<string, number> {
    const times = new Map<string, number>();
    for (const attemptId of attemptIds) {
      const receivedAttempt = this.received.get(attemptId);
      if (receivedAttempt !== undefined) {
        const {link} = receivedAttempt;
        const unconfirmedMs =
          link?.getUnconfirmedMs() ?? this.delays.getBehindMs();
        times.set(attemptId, unconfirmedMs);
        if (unconfirmedMs > ASK_AFTER_MS) {
          link?.askForCallers();
        }
      }
    }
    return times;
  }

  /**
   * Sends an attempt to a remote owner. Posts `attemptLost` if no link can be
   * opened.
   * @param to - The owner's link address.
   * @param attempt - The attempt.
   * @param outbound - The caller's request.
   */
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
    const sending: MeshAttempt = {
      ...attempt,
      aimMs: roundToHundredths(attempt.aimMs - spentMs),
      timeoutMs: roundToHundredths(Math.max(0, attempt.timeoutMs - spentMs)),
    };
    const message: LinkMessage = {
      kind: 'attempt',
      attempt: sending,
      method,
      path,
      headers,
    };
    link.send(message, body, attemptId, createAttemptClaim(sending));
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

  /** Cancels an attempt that this proxy has sent or received. */
  cancel(attemptId: string): void {
    const sentAttempt = this.sent.get(attemptId);
    if (sentAttempt !== undefined) {
      this.sent.delete(attemptId);
      sentAttempt.link?.discard(attemptId);
      sentAttempt.link?.send({kind: 'cancel', attemptId});
      this.detachLink(sentAttempt);
      return;
    }
    if (this.received.has(attemptId)) {
      this.cancelReceived(attemptId);
    }
  }

  private cancelReceived(attemptId: string): void {
    // The core looks up the request while it handles the event, so the attempt
    // is deleted only afterwards.
    this.post({kind: 'attemptCancelled', attemptId});
    this.forgetReceived(attemptId);
  }

  /** Removes a received attempt that has ended, and releases its request. */
  private forgetReceived(attemptId: string): ReceivedAttempt | undefined {
    const ended = this.received.get(attemptId);
    this.received.delete(attemptId);
    ended?.hold.release();
    const bodyBytes = ended?.outbound.body.length ?? 0;
    if (ended?.link !== undefined && bodyBytes > MAX_ORDINARY_BYTES) {
      this.budget.retire(bodyBytes);
    }
    return ended;
  }

  /** Ends a received attempt and sends its outcome to the entry. */
  finish(attemptId: string, outcome: AttemptOutcome): void {
    const receivedAttempt = this.forgetReceived(attemptId);
    if (receivedAttempt === undefined) {
      return;
    }
    if (receivedAttempt.link === undefined) {
      this.post({kind: 'attemptEnded', attemptId, outcome});
      return;
    }
    const {link, claim} = receivedAttempt;
    this.sendAndKeep(link, attemptId, {outcome, claim});
  }

  private sendAndKeep(link: Link, attemptId: string, kept: KeptOutcome): void {
    const {outcome, claim} = kept;
    const {result} = outcome;
    this.keptOutcomes.keep(attemptId, kept, link);
    if (link.closed) {
      this.dropLargeLater(link);
    }
    sendOutcome(link, attemptId, outcome, claim, () => {
      if (link.closed) {
        return;
      }
      this.keptOutcomes.dropLarge(attemptId);
      this.budget.retire(result.kind === 'answer' ? result.body.length : 0);
    });
  }

  private dropLargeLater(link: Link): void {
    const drop = () => this.keptOutcomes.dropLargeOf(link);
    setTimeout(drop, RESUME_GRACE_MS).unref();
  }

  private markSeen(attemptId: string): void {
    this.seenIds.add(attemptId);
    if (this.seenIds.size > MAX_SEEN_IDS) {
      const [oldest] = this.seenIds;
      this.seenIds.delete(oldest);
    }
  }

  /** Handles a message about an attempt; ignores messages of other kinds. */
  handleMessage(
    link: Link,
    message: LinkMessage,
    body: Uint8Array,
    ageMs: number,
  ): void {
    switch (message.kind) {
      case 'attempt':
        return this.handleAttempt(link, message, body, ageMs);
      case 'cancel':
        return this.handleCancel(link, message.attemptId);
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
    ageMs: number,
  ): void {
    const {attempt, method, path, headers} = message;
    const {attemptId} = attempt;
    if (this.seenIds.has(attemptId)) {
      return;
    }
    const hold = new MemoryHold(this.budget);
    if (!hold.tryAdd(countRequestBytes(headers, body))) {
      this.handleBodyRefused(link, message, 'memory_full');
      return;
    }
    this.markSeen(attemptId);
    const outbound = {method, path, headers, body};
    const claim = createAttemptClaim(attempt);
    this.received.set(attemptId, {attempt, claim, outbound, hold, link});
    const unconfirmedMs = link.getUnconfirmedMs();
    if (unconfirmedMs > ASK_AFTER_MS) {
      link.askForCallers();
    }
    this.post({kind: 'attemptArrived', attempt, ageMs, unconfirmedMs});
  }

  /**
   * Ends the attempt of a message whose body is not received. An attempt that has
   * arrived does not run; one that was answered counts as failed.
   * @param reason - Why it is not received.
   */
  handleBodyRefused(
    link: Link,
    message: LinkMessage,
    reason: UnreceivedReason,
  ): void {
    if (message.kind === 'answer') {
      const detail = 'no memory for the answer';
      const result = createRefusal('answer_too_large', undefined, detail);
      const {attemptId, load} = message;
      this.endSent(attemptId, {result, reachedUpstream: true, load});
      return;
    }
    if (message.kind !== 'attempt') {
      return;
    }
    const {attempt} = message;
    if (this.seenIds.has(attempt.attemptId)) {
      return;
    }
    this.markSeen(attempt.attemptId);
    this.addWithoutBody(link, message);
    this.post({kind: 'attemptArrived', attempt, unreceived: reason});
  }

  /**
   * Decides whether the body of an attempt is to be sent.
   * @param ageMs - Time since the attempt was sent, at least, in milliseconds.
   * @param arrival - How long its body would take.
   * @returns False if the attempt is refused, or was received or cancelled before.
   */
  handleOffer(
    link: Link,
    message: AttemptMessage,
    ageMs: number,
    {aheadMs, ownMs}: BodyArrival,
  ): boolean {
    const {attempt} = message;
    const {attemptId} = attempt;
    if (this.seenIds.has(attemptId)) {
      return false;
    }
    // Where the core refuses the attempt, it has ended when this returns.
    const offered = this.addWithoutBody(link, message);
    this.post({kind: 'attemptOffered', attempt, ageMs, aheadMs, ownMs});
    const isAccepted = this.received.get(attemptId) === offered;
    if (isAccepted) {
      this.received.delete(attemptId);
    } else {
      this.markSeen(attemptId);
    }
    return isAccepted;
  }

  /** Adds an attempt of which only the message was received. */
  private addWithoutBody(
    link: Link,
    {attempt, method, path}: AttemptMessage,
  ): ReceivedAttempt {
    const outbound = {method, path, headers: {}, body: EMPTY_BODY};
    const claim = createAttemptClaim(attempt);
    const hold = new MemoryHold(this.budget);
    const received = {attempt, claim, outbound, hold, link};
    this.received.set(attempt.attemptId, received);
    return received;
  }

  private handleCancel(link: Link, attemptId: string): void {
    link.discard(attemptId);
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
    const kept = this.keptOutcomes.find(attemptId);
    if (kept !== undefined) {
      this.sendAndKeep(link, attemptId, kept);
      return;
    }
    const reachedUpstream = this.seenIds.has(attemptId);
    // The entry treats this answer as final, so if the attempt message arrives
    // later, it must not run.
    this.markSeen(attemptId);
    const result = createRefusal(
      reachedUpstream ? 'attempt_lost' : 'upstream_down',
    );
    sendOutcome(link, attemptId, {result, reachedUpstream});
  }

  private handleOutcome(message: OutcomeMessage, body: Uint8Array): void {
    this.endSent(message.attemptId, readOutcome(message, body));
  }

  /** Ends an attempt that was sent; the owner wants no more of its body. */
  private endSent(attemptId: string, outcome: AttemptOutcome): void {
    const sentAttempt = this.sent.get(attemptId);
    if (sentAttempt === undefined) {
      return;
    }
    this.sent.delete(attemptId);
    sentAttempt.link?.discard(attemptId);
    this.detachLink(sentAttempt);
    this.post({kind: 'attemptEnded', attemptId, outcome});
  }

  /**
   * Resumes the attempts that were sent whole on a closed link, and cancels
   * received ones unless their entry resumes them in time.
   */
  handleLinkClosed(link: Link): void {
    this.dropLargeLater(link);
    for (const [attemptId, sentAttempt] of this.sent) {
      if (sentAttempt.link === link) {
        this.detachLink(sentAttempt);
        if (link.hasUnsentBody(attemptId)) {
          // The owner cannot start a request that it has not received whole.
          this.sent.delete(attemptId);
          this.post({kind: 'attemptLost', attemptId, sent: false});
          continue;
        }
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
      // Cancelled meanwhile, when no link could carry the cancellation.
      link?.send({kind: 'cancel', attemptId});
      return;
    }
    const isSameProcess =
      link?.closed === false &&
      link.peer?.incarnation === sentAttempt.incarnation;
    if (link === undefined || !isSameProcess) {
      // A restarted owner does not know what its previous process dispatched.
      this.sent.delete(attemptId);
      this.post({kind: 'attemptLost', attemptId, sent: true});
      return;
    }
    this.attachLink(sentAttempt, link);
    link.send({kind: 'resume', attemptId});
  }
}
