/**
 * Bodies that one link receives in chunks. Whether there is room for a body is decided
 * with its first chunk; it is assembled in place.
 */
import {UnreceivedReason} from '../core/mesh/mesh_types.js';
import {
  AttemptMessage,
  CALL_MESSAGE_KINDS,
  LinkMessage,
} from '../model/mesh.js';
import {BodyBuffer} from '../proxy/body_buffer.js';
import {MemoryBudget, MemoryHolder} from '../proxy/memory_budget.js';
import {BodyGrants, OfferedBody} from './body_grants.js';
import {BodyClaim, createAttemptClaim} from './body_pacer.js';
import {GrantFrame, ReceivedFrame, WholeFrame} from './frames.js';
import {MessageCodec} from './message_codec.js';

/** Largest body of a call; the limits of callers and upstreams are below it. */
export const MAX_CALL_BODY_BYTES = 65 * 1_048_576;

/**
 * Largest body that belongs to no call, such as a configuration. These are counted but
 * never refused for the sake of calls.
 */
const MAX_CONTROL_BODY_BYTES = 8 * 1_048_576;

/** What a body in progress takes beside its bytes and its encoded message. */
const OVERHEAD_BYTES = 1_024;

const NOTHING = new Uint8Array(0);

const CALL_KINDS: ReadonlySet<string> = new Set(CALL_MESSAGE_KINDS);

/** A message that was received whole. */
export interface ReceivedMessage {
  readonly message: LinkMessage;
  readonly body: Uint8Array;
  /** When it was sent, on the peer's clock. */
  readonly sentAt: number;
  /** Only the message has arrived; the body follows if it is accepted. */
  readonly offer?: Offer;
}

/** An attempt whose body its sender sends when it is granted. */
export interface Offer {
  readonly transfer: number;
  readonly message: AttemptMessage;
  readonly bodyBytes: number;
  readonly claim: BodyClaim;
}

export interface IncomingHandlers {
  /** The body of a message is not received; what arrives of it is dropped. */
  onRefused(message: LinkMessage, reason: UnreceivedReason): void;
  /** Lets the sender of a body send its first bytes. */
  sendGrant(transfer: number, bytes: number): void;
  onBadFrame(detail: string): void;
}

type ChunkFrame = Extract<ReceivedFrame, {kind: 'chunk'}>;

/** A body of which chunks are to come. */
class IncomingBody implements MemoryHolder {
  /** Absent: the sender sends it without being granted. */
  offered?: OfferedBody;

  constructor(
    readonly message: LinkMessage,
    readonly sentAt: number,
    readonly bodyTotal: number,
    readonly buffer: BodyBuffer,
    readonly refuse: (reason: UnreceivedReason) => void,
  ) {}

  get heldBytes(): number {
    return this.buffer.heldBytes;
  }

  getProgress(): number {
    return this.buffer.length;
  }

  evict(): void {
    this.refuse('memory_full');
  }
}

/** Receives the bodies of one link. */
export class IncomingBodies {
  private readonly bodies = new Map<number, IncomingBody>();

  constructor(
    private readonly budget: MemoryBudget,
    private readonly codec: MessageCodec,
    private readonly handlers: IncomingHandlers,
    private readonly grants: BodyGrants,
  ) {}

  /**
   * Handles a received part of a message. Chunks of a message that was refused or
   * discarded are ignored.
   * @returns The message with its body, once its last chunk has arrived, or with an
   *     offer to be answered by {@link accept} or {@link decline}.
   */
  receive(
    frame: Exclude<ReceivedFrame, WholeFrame | GrantFrame>,
  ): ReceivedMessage | undefined {
    if (frame.kind === 'discarded') {
      this.drop(frame.transfer);
      return undefined;
    }
    if (frame.message.length > 0) {
      this.begin(frame);
    }
    const incoming = this.bodies.get(frame.transfer);
    if (incoming === undefined) {
      return undefined;
    }
    const offer = findOffer(frame, incoming);
    if (offer !== undefined) {
      const {message, sentAt} = incoming;
      return {message, sentAt, body: NOTHING, offer};
    }
    const appended = incoming.buffer.append(frame.body);
    const {length} = incoming.buffer;
    const {bodyTotal, message, sentAt} = incoming;
    if (appended === 'too-large' || (frame.last && length !== bodyTotal)) {
      this.handlers.onBadFrame(
        `body is not as long as announced (${bodyTotal} bytes); run the same build on all proxies`,
      );
      this.refuse(frame.transfer, 'memory_full');
      return undefined;
    }
    if (appended !== 'ok') {
      this.refuse(frame.transfer, 'memory_full');
      return undefined;
    }
    if (incoming.offered !== undefined) {
      this.grants.recordReceived(incoming.offered);
    }
    if (!frame.last) {
      return undefined;
    }
    const body = incoming.buffer.finish();
    this.drop(frame.transfer);
    return {message, body, sentAt};
  }

  /** Lets the sender of an offered body send it, when its turn comes. */
  accept({transfer, message, bodyBytes, claim}: Offer): void {
    const incoming = this.bodies.get(transfer);
    if (incoming === undefined) {
      return;
    }
    const now = this.grants.now();
    const {buffer} = incoming;
    incoming.offered = {
      claim,
      offeredAt: now,
      timeoutMs: message.attempt.timeoutMs,
      totalBytes: bodyBytes,
      get receivedBytes() {
        return buffer.length;
      },
      grantedBytes: 0,
      progressAt: now,
      grant: bytes => this.handlers.sendGrant(transfer, bytes),
      refuse: () => incoming.refuse('link_saturated'),
    };
    this.grants.add(incoming.offered);
  }

  /** Receives nothing of an offered body. */
  decline({transfer}: Offer): void {
    this.drop(transfer);
  }

  /** Drops all bodies; their messages are not refused. */
  close(): void {
    [...this.bodies.keys()].forEach(transfer => this.drop(transfer));
  }

  private begin(frame: ChunkFrame): void {
    const {transfer, bodyTotal, stamp} = frame;
    this.drop(transfer);
    const decoded = this.codec.decode(frame.message);
    if (decoded.isErr()) {
      this.handlers.onBadFrame(decoded.error);
      return;
    }
    const message = decoded.value;
    const isCall = CALL_KINDS.has(message.kind);
    const maxBytes = isCall ? MAX_CALL_BODY_BYTES : MAX_CONTROL_BODY_BYTES;
    if (bodyTotal > maxBytes) {
      this.handlers.onBadFrame(
        `body of ${bodyTotal} bytes is too large (limit ${maxBytes}); lower the limits of callers`,
      );
      this.reportRefused(message, 'memory_full');
      return;
    }
    const heldBytes = bodyTotal + frame.message.length + OVERHEAD_BYTES;
    if (!isCall) {
      this.budget.add(heldBytes);
    } else if (!this.budget.tryReserve(heldBytes)) {
      // Bodies that have ended may hold the room; a repetition finds it free.
      void this.budget.reclaim();
      this.reportRefused(message, 'memory_full');
      return;
    }
    const limits = {maxBytes: bodyTotal, announcedBytes: bodyTotal};
    const buffer = new BodyBuffer(this.budget, limits, heldBytes);
    const incoming = new IncomingBody(
      message,
      stamp.sentAt,
      bodyTotal,
      buffer,
      reason => this.refuse(transfer, reason),
    );
    this.bodies.set(transfer, incoming);
    if (isCall) {
      this.budget.addHolder(incoming);
    }
  }

  /** Forgets a body and releases what is counted for it alone. */
  private drop(transfer: number): IncomingBody | undefined {
    const incoming = this.bodies.get(transfer);
    if (incoming !== undefined) {
      this.bodies.delete(transfer);
      this.budget.removeHolder(incoming);
      incoming.buffer.discard();
      if (incoming.offered !== undefined) {
        this.grants.remove(incoming.offered);
      }
    }
    return incoming;
  }

  private refuse(transfer: number, reason: UnreceivedReason): void {
    const incoming = this.drop(transfer);
    if (incoming !== undefined) {
      this.reportRefused(incoming.message, reason);
    }
  }

  /** Reports a refusal later: a reservation for something else may have caused it. */
  private reportRefused(message: LinkMessage, reason: UnreceivedReason): void {
    queueMicrotask(() => this.handlers.onRefused(message, reason));
  }
}

/** Returns the offer that a first chunk with only the message of an attempt is. */
function findOffer(
  {transfer, message: encoded, body, last}: ChunkFrame,
  {message, bodyTotal}: IncomingBody,
): Offer | undefined {
  const isOffer = encoded.length > 0 && body.length === 0 && !last;
  if (!isOffer || message.kind !== 'attempt') {
    return undefined;
  }
  const claim = createAttemptClaim(message.attempt);
  return {transfer, message, bodyBytes: bodyTotal, claim};
}
