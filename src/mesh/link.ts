/**
 * Framing and liveness checks for a TCP connection between two proxies. Each
 * frame consists of the message length and the body length (32-bit big-endian
 * each), the encoded message, and the body.
 */
import {Socket} from 'node:net';
import {CALL_MESSAGE_KINDS, LinkMessage} from '../model/mesh.js';
import {MessageCodec} from './message_codec.js';

const LENGTH_BYTES = 4;
const PREFIX_BYTES = 2 * LENGTH_BYTES;
const MAX_MESSAGE_BYTES = 8 * 1_048_576;
const MAX_BODY_BYTES = 128 * 1_048_576;

/** Size of the send buffer above which the link is closed. */
const MAX_UNSENT_BYTES = 64 * 1_048_576;

/**
 * Time without received data after which a peer with pending answers is pinged;
 * longer than the operating system may leave a healthy process unscheduled.
 */
const PING_AFTER_MS = 250;

/** Time within which a pinged peer must send data. */
const PONG_TIMEOUT_MS = 500;

const EMPTY_BODY = new Uint8Array(0);

const CALL_KINDS: ReadonlySet<string> = new Set(CALL_MESSAGE_KINDS);

export interface LinkHandlers {
  onMessage(link: Link, message: LinkMessage, body: Uint8Array): void;
  onClose(link: Link): void;
  onBadFrame(detail: string): void;
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
   * Sends a message; does nothing if the link is closed.
   * @param message - The message.
   * @param body - The request or answer body, or a compressed configuration.
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

  /** Closes the connection and calls `onClose` once. */
  close(): void {
    if (this.closed) {
      return;
    }
    this.closed = true;
    this.socket.destroy();
    this.handlers.onClose(this);
  }

  /**
   * Pings a silent peer with pending answers, and closes the link if it does
   * not respond.
   */
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
        `frame too large: message of ${messageBytes} bytes (limit ${MAX_MESSAGE_BYTES}), body of ${bodyBytes} bytes (limit ${MAX_BODY_BYTES}); check that the peer address belongs to a proxy`,
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
