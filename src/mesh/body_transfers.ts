/**
 * Large bodies that a link to another proxy sends. They are sent in chunks, when the
 * process's {@link BodyPacer} lets them, and only while few bytes wait in the socket, so
 * that a small message never waits behind a whole upload on a slow link.
 */
import {MAX_WHOLE_BODY_BYTES} from '../core/mesh/link_rate.js';
import {MAX_ORDINARY_BYTES, MemoryBudget} from '../proxy/memory_budget.js';
import {MemoryHold} from '../proxy/memory_hold.js';
import {BodyClaim, BodyPacer, BodySource, WaitingBody} from './body_pacer.js';
import {Frame} from './frames.js';

const CHUNK_BYTES = MAX_WHOLE_BODY_BYTES;

/** Unsent bytes in the socket up to which the next chunk is written. */
const MAX_WAITING_BYTES = 16_384;

/** The part of a socket that transfers use. */
export interface FrameSink {
  /** @param onFlushed - Called when the operating system has the frame, or never will. */
  write(frame: Frame, onFlushed?: (err?: Error | null) => void): void;
  /** Bytes that were written and not yet passed to the operating system. */
  getUnsentBytes(): number;
}

/** A message whose body is sent in chunks. */
class Outgoing implements WaitingBody {
  lastChunk = 0;
  sentBytes = 0;
  /** The message was written. */
  begun = false;

  constructor(
    readonly transfer: number,
    readonly key: string | undefined,
    readonly message: Uint8Array,
    readonly body: Uint8Array,
    readonly claim: BodyClaim,
    readonly queuedAt: number,
    readonly turnAt: number,
    readonly hold: MemoryHold,
    readonly onDone: () => void,
    /** Bytes of the body that the receiver lets this proxy send. */
    public grantedBytes: number,
  ) {}

  get unsentBytes(): number {
    return this.body.length - this.sentBytes;
  }
}

const NOTHING = new Uint8Array(0);

/** Creates the next frame of a body, which ends before a byte of it. */
function createChunk(outgoing: Outgoing, end: number) {
  const {transfer, message, body, sentBytes, begun} = outgoing;
  outgoing.begun = true;
  outgoing.sentBytes = end;
  return {
    kind: 'chunk',
    transfer,
    bodyTotal: body.length,
    message: begun ? NOTHING : message,
    body: body.subarray(sentBytes, end),
    last: end === body.length,
  } as const satisfies Frame;
}

/** The bodies that one link sends in chunks. */
export class BodyTransfers implements BodySource {
  private readonly outgoing: Outgoing[] = [];
  private nextTransfer = 1;
  private waitingMessageBytes = 0;

  constructor(
    private readonly sink: FrameSink,
    private readonly pacer: BodyPacer,
    private readonly budget: MemoryBudget,
  ) {}

  /** Bodies of which a part may be sent now. */
  get waiting(): readonly Outgoing[] {
    return this.outgoing.filter(
      ({sentBytes, grantedBytes}) => sentBytes < grantedBytes,
    );
  }

  /** Bytes of encoded messages whose bodies wait. */
  get messageBytes(): number {
    return this.waitingMessageBytes;
  }

  /**
   * Begins to send a message and its body.
   * @param key - With it, {@link discard} stops sending the body.
   * @param isOffered - Only the message is sent until the receiver grants the body.
   * @param onDone - Called when the body was sent whole or discarded.
   */
  send(
    message: Uint8Array,
    body: Uint8Array,
    claim: BodyClaim,
    key?: string,
    isOffered = false,
    onDone: () => void = () => undefined,
  ): void {
    const transfer = this.nextTransfer;
    this.nextTransfer += 1;
    const hold = new MemoryHold(this.budget);
    // Larger bodies count where they were received.
    const isCounted = body.length > MAX_ORDINARY_BYTES;
    hold.add(message.length + (isCounted ? 0 : body.length));
    const {queuedAt, turnAt} = this.pacer.createTurn(body.length);
    const outgoing = new Outgoing(
      transfer,
      key,
      message,
      body,
      claim,
      queuedAt,
      turnAt,
      hold,
      onDone,
      isOffered ? 0 : body.length,
    );
    this.outgoing.push(outgoing);
    this.waitingMessageBytes += message.length;
    if (isOffered) {
      this.sink.write(createChunk(outgoing, 0));
    } else {
      this.pacer.add(this);
    }
  }

  /**
   * Sends more of an offered body; does nothing if it was discarded.
   * @param transfer - The transfer.
   * @param bytes - Bytes of the body that may be sent, from its start.
   */
  handleGrant(transfer: number, bytes: number): void {
    const outgoing = this.outgoing.find(other => other.transfer === transfer);
    if (outgoing !== undefined && bytes > outgoing.grantedBytes) {
      outgoing.grantedBytes = Math.min(bytes, outgoing.body.length);
      this.pacer.add(this);
    }
  }

  /** Ends all sending; {@link hasUnsent} still tells what was not sent. */
  close(): void {
    this.outgoing.forEach(({hold}) => hold.release());
    this.pacer.remove(this);
  }

  hasRoom(): boolean {
    return this.sink.getUnsentBytes() <= MAX_WAITING_BYTES;
  }

  writeChunk(outgoing: Outgoing): void {
    const {sentBytes, grantedBytes} = outgoing;
    const end = Math.min(grantedBytes, sentBytes + CHUNK_BYTES);
    const frame = createChunk(outgoing, end);
    const {last} = frame;
    if (last) {
      this.remove(this.outgoing.indexOf(outgoing));
    }
    this.sink.write(frame, err => {
      if (last) {
        outgoing.hold.release();
      }
      if (last && !err) {
        outgoing.onDone();
      }
      this.pacer.writeChunks();
    });
  }

  /** Stops sending the message that was given this key. */
  discard(key: string): void {
    const index = this.outgoing.findIndex(other => other.key === key);
    if (index < 0) {
      return;
    }
    const {transfer, begun, hold, onDone} = this.remove(index);
    hold.release();
    if (this.waiting.length === 0) {
      this.pacer.remove(this);
    }
    if (begun) {
      this.sink.write({kind: 'discarded', transfer});
    }
    onDone();
  }

  private remove(index: number): Outgoing {
    const [outgoing] = this.outgoing.splice(index, 1);
    this.waitingMessageBytes -= outgoing.message.length;
    return outgoing;
  }

  /** Reports whether a part of a message with this key was not written yet. */
  hasUnsent(key: string): boolean {
    return this.outgoing.some(other => other.key === key);
  }
}
