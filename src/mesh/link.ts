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

const EMPTY_BODY = new Uint8Array(0);

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
  compressesCalls = true;
  /** Address and incarnation that the peer has named, once it has. */
  peer?: {readonly address: string; readonly incarnation: number};
  /** Attempts for which the peer owes an answer. */
  pendingAnswers = 0;
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
  send(message: LinkMessage, body: Uint8Array = EMPTY_BODY): void {
    if (this.closed) {
      return;
    }
    const compress = this.compressesCalls || !CALL_KINDS.has(message.kind);
    const encoded = this.codec.encode(message, compress);
    const frame = Buffer.allocUnsafe(
      PREFIX_BYTES + encoded.length + body.length,
    );
    frame.writeUInt32BE(encoded.length, 0);
    frame.writeUInt32BE(body.length, LENGTH_BYTES);
    encoded.copy(frame, PREFIX_BYTES);
    frame.set(body, PREFIX_BYTES + encoded.length);
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
    const now = this.now();
    if (this.pingSentAt !== undefined) {
      if (now - this.pingSentAt > PONG_TIMEOUT_MS) {
        this.close();
      }
      return;
    }
    if (this.pendingAnswers > 0 && now - this.lastReceivedAt > PING_AFTER_MS) {
      this.pingSentAt = now;
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
    const received =
      this.buffered.length === 1
        ? this.buffered[0]
        : Buffer.concat(this.buffered);
    this.buffered = [received];
    const messageBytes = received.readUInt32BE(0);
    const bodyBytes = received.readUInt32BE(LENGTH_BYTES);
    if (messageBytes > MAX_MESSAGE_BYTES || bodyBytes > MAX_BODY_BYTES) {
      this.handlers.onBadFrame(
        `frame of ${messageBytes} and ${bodyBytes} bytes`,
      );
      this.close();
      return;
    }
    const bodyAt = PREFIX_BYTES + messageBytes;
    const end = bodyAt + bodyBytes;
    if (received.length < end) {
      this.neededBytes = end;
      return;
    }
    this.buffered = received.length > end ? [received.subarray(end)] : [];
    this.bufferedBytes = received.length - end;
    this.neededBytes = PREFIX_BYTES;
    this.handleFrame(
      received.subarray(PREFIX_BYTES, bodyAt),
      received.subarray(bodyAt, end),
    );
  }

  private handleFrame(encoded: Uint8Array, body: Uint8Array): void {
    const decoded = this.codec.decode(encoded);
    if (decoded.isErr()) {
      this.handlers.onBadFrame(decoded.error);
      return;
    }
    const message = decoded.value;
    if (message.kind === 'ping') {
      this.send({kind: 'pong', id: message.id});
    } else if (message.kind !== 'pong') {
      this.handlers.onMessage(this, message, body);
    }
  }
}
