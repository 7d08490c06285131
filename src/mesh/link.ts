/**
 * One connection between two proxies, on which messages of both run side by
 * side. A frame has the lengths of its message and its body, the message as
 * compressed JSON, then the body.
 */
import {Socket} from 'node:net';
import {CALL_MESSAGE_KINDS, LinkMessage} from '../model/mesh.js';
import {MessageCodec} from './message_codec.js';

const LENGTH_BYTES = 4;
const PREFIX_BYTES = 2 * LENGTH_BYTES;
const MAX_MESSAGE_BYTES = 8 * 1_048_576;
const MAX_BODY_BYTES = 128 * 1_048_576;

/** Bytes that a peer may leave unread before the link is given up. */
const MAX_UNSENT_BYTES = 64 * 1_048_576;

/**
 * Silence after which a peer that owes an answer is asked whether it is
 * there: longer than a process may be kept off the processor.
 */
const PING_AFTER_MS = 250;

/** Time that it has to say so. */
const PONG_TIMEOUT_MS = 500;

const EMPTY = new Uint8Array(0);

const CALL_KINDS: ReadonlySet<string> = new Set(CALL_MESSAGE_KINDS);

export interface LinkHandlers {
  onMessage(link: Link, message: LinkMessage, body: Uint8Array): void;
  onClose(link: Link): void;
  onBadFrame(detail: string): void;
}

/** Bytes that went over links, both ways. */
export interface LinkTraffic {
  sentBytes: number;
  receivedBytes: number;
}

export class Link {
  /**
   * Compresses messages about calls. Their bytes are paid for between zones;
   * within one they cost less than the processor time to compress them.
   */
  compresses = true;
  /** Address and incarnation that the peer has named, once it has. */
  peer?: {readonly address: string; readonly incarnation: number};
  /** Attempts for which the peer owes an answer. */
  owed = 0;
  closed = false;
  private buffered: Buffer[] = [];
  private bufferedBytes = 0;
  private neededBytes = PREFIX_BYTES;
  private lastReceivedAt: number;
  private pingSentAt?: number;
  private pingId = 0;

  constructor(
    private readonly socket: Socket,
    private readonly handlers: LinkHandlers,
    private readonly codec: MessageCodec,
    private readonly traffic: LinkTraffic,
    private readonly now: () => number,
  ) {
    this.lastReceivedAt = now();
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => this.receive(chunk));
    socket.on('error', () => this.close());
    socket.on('close', () => this.close());
  }

  /**
   * Sends a message.
   * @param message - The message.
   * @param body - Bytes that belong to it.
   */
  send(message: LinkMessage, body: Uint8Array = EMPTY): void {
    if (this.closed) {
      return;
    }
    const compress = this.compresses || !CALL_KINDS.has(message.kind);
    const text = this.codec.pack(message, compress);
    const frame = Buffer.allocUnsafe(PREFIX_BYTES + text.length + body.length);
    frame.writeUInt32BE(text.length, 0);
    frame.writeUInt32BE(body.length, LENGTH_BYTES);
    text.copy(frame, PREFIX_BYTES);
    frame.set(body, PREFIX_BYTES + text.length);
    this.traffic.sentBytes += frame.length;
    this.socket.write(frame);
    if (this.socket.writableLength > MAX_UNSENT_BYTES) {
      this.close();
    }
  }

  /** Closes the link; both sides learn of it. */
  close(): void {
    if (this.closed) {
      return;
    }
    this.closed = true;
    this.socket.destroy();
    this.handlers.onClose(this);
  }

  /** Finds out whether a peer that owes an answer is still there. */
  checkAlive(): void {
    const at = this.now();
    if (this.pingSentAt !== undefined) {
      if (at - this.pingSentAt > PONG_TIMEOUT_MS) {
        this.close();
      }
      return;
    }
    if (this.owed > 0 && at - this.lastReceivedAt > PING_AFTER_MS) {
      this.pingSentAt = at;
      this.pingId += 1;
      this.send({kind: 'ping', id: this.pingId});
    }
  }

  private receive(chunk: Buffer): void {
    this.lastReceivedAt = this.now();
    this.pingSentAt = undefined;
    this.traffic.receivedBytes += chunk.length;
    this.buffered.push(chunk);
    this.bufferedBytes += chunk.length;
    while (!this.closed && this.bufferedBytes >= this.neededBytes) {
      this.readFrame();
    }
  }

  private readFrame(): void {
    const all =
      this.buffered.length === 1
        ? this.buffered[0]
        : Buffer.concat(this.buffered);
    this.buffered = [all];
    const textBytes = all.readUInt32BE(0);
    const bodyBytes = all.readUInt32BE(LENGTH_BYTES);
    if (textBytes > MAX_MESSAGE_BYTES || bodyBytes > MAX_BODY_BYTES) {
      this.handlers.onBadFrame(`frame of ${textBytes} and ${bodyBytes} bytes`);
      this.close();
      return;
    }
    const bodyAt = PREFIX_BYTES + textBytes;
    const end = bodyAt + bodyBytes;
    if (all.length < end) {
      this.neededBytes = end;
      return;
    }
    this.buffered = all.length > end ? [all.subarray(end)] : [];
    this.bufferedBytes = all.length - end;
    this.neededBytes = PREFIX_BYTES;
    this.takeFrame(
      all.subarray(PREFIX_BYTES, bodyAt),
      all.subarray(bodyAt, end),
    );
  }

  private takeFrame(packed: Uint8Array, body: Uint8Array): void {
    const unpacked = this.codec.unpack(packed);
    if (unpacked.isErr()) {
      this.handlers.onBadFrame(unpacked.error);
      return;
    }
    const message = unpacked.value;
    if (message.kind === 'ping') {
      this.send({kind: 'pong', id: message.id});
    } else if (message.kind !== 'pong') {
      this.handlers.onMessage(this, message, body);
    }
  }
}
