/**
 * Messages over a TCP connection between two proxies, and its liveness checks.
 * Small messages overtake the remaining chunks of large bodies.
 */
import {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {MAX_WHOLE_BODY_BYTES} from '../core/mesh/link_rate.js';
import {UnreceivedReason} from '../core/mesh/mesh_types.js';
import {
  AttemptMessage,
  CALL_MESSAGE_KINDS,
  LinkMessage,
} from '../model/mesh.js';
import {MemoryBudget} from '../proxy/memory_budget.js';
import {BodyGrants} from './body_grants.js';
import {BodyClaim, BodyPacer, CONTROL_CLAIM} from './body_pacer.js';
import {BodyTransfers} from './body_transfers.js';
import {FrameReader} from './frame_reader.js';
import {Frame, ReceivedFrame, encodeFrame} from './frames.js';
import {IncomingBodies, Offer, ReceivedMessage} from './incoming_bodies.js';
import {MessageCodec} from './message_codec.js';
import {PeerClock} from './peer_clock.js';
import {ReadDelays} from './turn_clock.js';

/**
 * Bytes in the send buffer and of messages whose bodies wait, above which the link is
 * closed instead of taking more: its reader is too slow. Waiting bodies are bounded where
 * they are received.
 */
const MAX_UNSENT_BYTES = 4 * 1_048_576;

/**
 * Time without received data after which a peer with pending answers is pinged;
 * longer than the operating system may leave a healthy process unscheduled.
 */
const PING_AFTER_MS = 250;

/** Time within which a pinged peer must send data. */
const PONG_TIMEOUT_MS = 500;

/**
 * The same two times for a peer that owes no answer but was sent a message since it
 * last sent anything: the connection may carry nothing any more, without an error.
 */
const UPDATE_PING_AFTER_MS = 500;
const UPDATE_PONG_TIMEOUT_MS = 1_000;

/** Time in which a peer may end its side of a connection that this proxy has ended. */
const LINGER_MS = 60;

/** Least time between two questions to a peer for its callers. */
const MIN_CONFIRMATION_GAP_MS = 60;

/** Frames state when they were sent in whole milliseconds. */
const STAMP_RESOLUTION_MS = 1;

const EMPTY_BODY = new Uint8Array(0);

const CALL_KINDS: ReadonlySet<string> = new Set(CALL_MESSAGE_KINDS);

export interface LinkHandlers {
  /** @param ageMs - Time since the message was sent, at least, in milliseconds. */
  onMessage(
    link: Link,
    message: LinkMessage,
    body: Uint8Array,
    ageMs: number,
  ): void;
  /** The body of a message is not received, so the message is not delivered. */
  onBodyRefused(
    link: Link,
    message: LinkMessage,
    reason: UnreceivedReason,
  ): void;
  /**
   * A peer offers the body of an attempt.
   * @param ageMs - As for {@link onMessage}.
   * @param arrival - When its body would have arrived.
   * @returns Whether it is to be sent; if not, the attempt has been refused.
   */
  onBodyOffered(
    link: Link,
    message: AttemptMessage,
    ageMs: number,
    arrival: BodyArrival,
  ): boolean;
  /** The peer has replied to {@link Link.askForCallers}. */
  onConfirmed(link: Link): void;
  onClose(link: Link): void;
  onBadFrame(detail: string): void;
}

/** How long a body that is offered now would take, in milliseconds. */
export interface BodyArrival {
  /** The bodies that arrive before it. */
  readonly aheadMs: number;
  /** The body itself. */
  readonly ownMs: number;
}

/** Bytes sent and received over all links of this proxy. */
export interface LinkTraffic {
  sentBytes: number;
  receivedBytes: number;
}

/** A connection that carries messages in both directions. */
export class Link {
  /**
   * Whether messages about calls are compressed. Traffic between zones is
   * billed by the byte; within a zone, saving bytes is not worth the processor
   * time.
   */
  compressesCalls = true;
  /** The peer's identity; undefined until its `hello` arrives. */
  peer?: {readonly address: string; readonly incarnation: number};
  /** Number of attempts sent on this link that the peer has not answered. */
  pendingAnswers = 0;
  closed = false;
  private readonly reader: FrameReader;
  private readonly transfers: BodyTransfers;
  private readonly incoming: IncomingBodies;
  private lastReceivedAt: number;
  /** When the first message since then was sent. */
  private unconfirmedSince?: number;
  private pingSentAt?: number;
  private pingId = 0;
  private readonly peerClock = new PeerClock(STAMP_RESOLUTION_MS);
  /** When this proxy began to open the link; undefined: the peer opened it. */
  private dialedAt?: number;
  /** When the latest ping was sent. */
  private askedAt?: number;
  /**
   * Until then, on its own clock, the peer had read its callers' sockets when it sent
   * the latest message.
   */
  private peerReadUntil = -Infinity;

  constructor(
    private readonly socket: Socket,
    private readonly handlers: LinkHandlers,
    private readonly codec: MessageCodec,
    private readonly traffic: LinkTraffic,
    private readonly now: () => number,
    private readonly pacer: BodyPacer,
    private readonly delays: ReadDelays,
    budget: MemoryBudget,
    private readonly grants: BodyGrants,
  ) {
    this.lastReceivedAt = now();
    this.reader = new FrameReader(budget);
    this.incoming = new IncomingBodies(
      budget,
      codec,
      {
        onRefused: (message, reason) => this.refuseBody(message, reason),
        sendGrant: (transfer, bytes) =>
          this.write({kind: 'granted', transfer, bytes}),
        onBadFrame: detail => handlers.onBadFrame(detail),
      },
      grants,
    );
    this.transfers = new BodyTransfers(
      {
        write: (frame, onFlushed) => this.write(frame, onFlushed),
        getUnsentBytes: () => (this.closed ? Infinity : socket.writableLength),
      },
      pacer,
      budget,
    );
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => this.receive(chunk));
    socket.on('error', () => this.close());
    socket.on('close', () => this.close());
  }

  /**
   * Sends a message; does nothing if the link is closed.
   * @param message - The message.
   * @param body - The request or answer body, or a compressed configuration.
   * @param key - With it, {@link discard} stops sending the body.
   * @param claim - What the order of a large body depends on.
   * @param onDone - Called when a large body was sent whole, or is not sent further on
   *     an open link.
   */
  send(
    message: LinkMessage,
    body: Uint8Array = EMPTY_BODY,
    key?: string,
    claim: BodyClaim = CONTROL_CLAIM,
    onDone?: () => void,
  ): void {
    this.closeIfTooSlow();
    if (this.closed) {
      return;
    }
    const compress = this.compressesCalls || !CALL_KINDS.has(message.kind);
    const encoded = this.codec.encode(message, compress);
    if (message.kind !== 'ping' && message.kind !== 'pong') {
      this.unconfirmedSince ??= this.now();
    }
    if (body.length <= MAX_WHOLE_BODY_BYTES) {
      this.write({kind: 'whole', message: encoded, body});
      return;
    }
    const isOffered = message.kind === 'attempt';
    this.transfers.send(encoded, body, claim, key, isOffered, onDone);
  }

  /**
   * Stops sending a body that the peer no longer needs. Without it, an
   * abandoned upload would take the bandwidth of the calls behind it.
   * @param key - The key that was given to {@link send}.
   */
  discard(key: string): void {
    this.transfers.discard(key);
  }

  /**
   * Reports whether part of a body was not written before the link closed, so
   * that the peer cannot have received the whole message.
   * @param key - The key that was given to {@link send}.
   */
  hasUnsentBody(key: string): boolean {
    return this.transfers.hasUnsent(key);
  }

  private readonly wakePacer = () => this.pacer.writeChunks();

  private write(frame: Frame, onFlushed?: (err?: Error | null) => void): void {
    if (this.closed) {
      return;
    }
    const behindMs = this.delays.getBehindMs();
    const bytes = encodeFrame(frame, {sentAt: this.now(), behindMs});
    this.traffic.sentBytes += bytes.length;
    this.pacer.countWritten(bytes.length);
    // Whole messages, too, can fill the socket so that a large body has to wait.
    this.socket.write(bytes, onFlushed ?? this.wakePacer);
  }

  /** Bytes that were written and not yet passed to the operating system. */
  get unsentBytes(): number {
    return this.socket.writableLength;
  }

  private closeIfTooSlow(): void {
    if (this.unsentBytes + this.transfers.messageBytes > MAX_UNSENT_BYTES) {
      this.close();
    }
  }

  /** Closes the connection and calls `onClose` once. */
  close(): void {
    if (this.closed) {
      return;
    }
    this.release();
    this.socket.destroy();
    this.handlers.onClose(this);
  }

  /**
   * Ends the connection after what was written. Input that is not read when a connection
   * closes resets it, which discards what the peer has not received yet.
   * @returns A promise that resolves once the peer has ended its side, too, or after
   *     {@link LINGER_MS}.
   */
  async end(): Promise<void> {
    if (this.closed) {
      return;
    }
    this.release();
    this.handlers.onClose(this);
    const ended = new Promise(resolve => this.socket.once('close', resolve));
    this.socket.end();
    await Promise.race([ended, sleep(LINGER_MS)]);
    this.socket.destroy();
  }

  private release(): void {
    this.closed = true;
    this.transfers.close();
    this.incoming.close();
    this.reader.close();
  }

  /**
   * Pings a peer that is silent although it owes an answer or was sent a message,
   * and closes the link if it does not respond.
   * @param now - Now, in milliseconds.
   */
  checkAlive(now = this.now()): void {
    const owesAnswer = this.pendingAnswers > 0;
    if (this.pingSentAt !== undefined) {
      const timeoutMs = owesAnswer ? PONG_TIMEOUT_MS : UPDATE_PONG_TIMEOUT_MS;
      if (now - this.pingSentAt > timeoutMs) {
        this.close();
      }
      return;
    }
    const {unconfirmedSince = Infinity} = this;
    const isSilent =
      (owesAnswer && now - this.lastReceivedAt > PING_AFTER_MS) ||
      now - unconfirmedSince > UPDATE_PING_AFTER_MS;
    if (isSilent) {
      this.pingSentAt = now;
      this.ping(now);
    }
  }

  private ping(now: number): void {
    this.pingId += 1;
    this.askedAt = now;
    this.send({kind: 'ping', id: this.pingId});
  }

  /** Marks a link that this proxy opens: whatever the peer sends is sent later. */
  markDialed(): void {
    this.dialedAt = this.now();
  }

  /** Asks the peer until when it has read its callers' sockets. */
  askForCallers(): void {
    const now = this.now();
    if (now - (this.askedAt ?? -Infinity) >= MIN_CONFIRMATION_GAP_MS) {
      this.ping(now);
    }
  }

  /**
   * Gets the longest time for which a caller of the peer may have left without a
   * cancellation that was read here.
   * @returns Milliseconds; `Infinity` while that is not known.
   */
  getUnconfirmedMs(): number {
    return this.peerClock.getGreatestAgeMs(this.peerReadUntil, this.now());
  }

  private receive(chunk: Buffer): void {
    if (this.closed) {
      return;
    }
    this.delays.enter();
    this.lastReceivedAt = this.now();
    this.pingSentAt = undefined;
    this.unconfirmedSince = undefined;
    this.traffic.receivedBytes += chunk.length;
    this.reader.push(chunk);
    const messages: ReceivedMessage[] = [];
    let frame = this.reader.read();
    while (frame !== undefined && !('error' in frame)) {
      this.recordStamp(frame);
      const message = this.decode(frame);
      if (message !== undefined) {
        messages.push(message);
      }
      frame = this.reader.read();
    }
    // What these messages are answered with at once is written together.
    this.socket.cork();
    try {
      this.handleMessages(messages);
    } finally {
      this.socket.uncork();
    }
    if (frame !== undefined && !this.closed) {
      this.handlers.onBadFrame(frame.error);
      this.close();
    }
  }

  private recordStamp({stamp: {sentAt, behindMs}}: ReceivedFrame): void {
    const {lastReceivedAt: readAt} = this;
    this.peerClock.recordMessage(sentAt, readAt);
    if (this.peer === undefined && this.dialedAt !== undefined) {
      this.peerClock.recordReply(this.dialedAt, sentAt, readAt);
    }
    this.peerReadUntil = Math.max(this.peerReadUntil, sentAt - behindMs);
  }

  /** Decodes the message that a frame completes, if it does and is valid. */
  private decode(frame: ReceivedFrame): ReceivedMessage | undefined {
    if (frame.kind === 'granted') {
      this.transfers.handleGrant(frame.transfer, frame.bytes);
      return undefined;
    }
    if (frame.kind !== 'whole') {
      return this.incoming.receive(frame);
    }
    const decoded = this.codec.decode(frame.message);
    if (decoded.isErr()) {
      this.handlers.onBadFrame(decoded.error);
      return undefined;
    }
    // A part of what was read at once would keep all of it in memory.
    const body =
      frame.body.length > 0 ? new Uint8Array(frame.body) : EMPTY_BODY;
    return {message: decoded.value, body, sentAt: frame.stamp.sentAt};
  }

  private refuseBody(message: LinkMessage, reason: UnreceivedReason): void {
    if (!this.closed) {
      this.handlers.onBodyRefused(this, message, reason);
    }
  }

  private handleOffer(offer: Offer, ageMs: number): void {
    const {grants} = this;
    const {message, bodyBytes, claim} = offer;
    const arrival = {
      aheadMs: grants.estimateAheadMs(claim),
      ownMs: grants.getBytesMs(bodyBytes),
    };
    if (this.handlers.onBodyOffered(this, message, ageMs, arrival)) {
      this.incoming.accept(offer);
    } else {
      this.incoming.decline(offer);
    }
  }

  /**
   * Handles messages that have arrived together, cancellations first: a process that
   * stood still must not start what its caller has given up meanwhile.
   */
  private handleMessages(messages: readonly ReceivedMessage[]): void {
    const isCancellation = ({message}: ReceivedMessage) =>
      message.kind === 'cancel';
    const ordered =
      messages.length > 1 && messages.some(isCancellation)
        ? [
            ...messages.filter(isCancellation),
            ...messages.filter(received => !isCancellation(received)),
          ]
        : messages;
    for (const {message, body, sentAt, offer} of ordered) {
      if (this.closed) {
        return;
      }
      if (message.kind === 'ping') {
        this.send({kind: 'pong', id: message.id});
      } else if (message.kind === 'pong') {
        this.handlePong(message.id, sentAt);
      } else {
        const ageMs = this.peerClock.getLeastAgeMs(sentAt, this.now());
        if (offer !== undefined) {
          this.handleOffer(offer, ageMs);
          continue;
        }
        this.handlers.onMessage(this, message, body, ageMs);
      }
    }
  }

  private handlePong(id: number, sentAt: number): void {
    if (id === this.pingId && this.askedAt !== undefined) {
      const readAt = this.lastReceivedAt;
      this.peerClock.recordReply(this.askedAt, sentAt, readAt);
      this.handlers.onConfirmed(this);
    }
  }
}
