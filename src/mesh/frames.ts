/**
 * Frames on a link between two proxies. A frame is a type (1 byte), the sender's time
 * (48 bits), how far behind it was with reading (16 bits), a transfer id, the length of
 * the message and that of the body (32 bits each), the encoded message, and the body or
 * a part of it. All numbers are big-endian.
 */

const TYPE_WHOLE = 0;
const TYPE_CHUNK = 1;
const TYPE_LAST_CHUNK = 2;
const TYPE_DISCARDED = 3;

const LENGTH_BYTES = 4;
const SENT_AT = 1;
const SENT_BYTES = 6;
const BEHIND_AT = SENT_AT + SENT_BYTES;
const BEHIND_BYTES = 2;
const TRANSFER_AT = BEHIND_AT + BEHIND_BYTES;
const MESSAGE_LENGTH_AT = TRANSFER_AT + LENGTH_BYTES;
const BODY_LENGTH_AT = MESSAGE_LENGTH_AT + LENGTH_BYTES;
const PREFIX_BYTES = BODY_LENGTH_AT + LENGTH_BYTES;

const MAX_MESSAGE_BYTES = 8 * 1_048_576;
const MAX_BODY_BYTES = 128 * 1_048_576;

/** Largest time that is sent; one that is longer is sent as this. */
const MAX_BEHIND_MS = 2 ** (8 * BEHIND_BYTES) - 1;

const NOTHING = new Uint8Array(0);

/** The sender's state when it wrote a frame. */
export interface FrameStamp {
  /** Time on the sender's own clock, in whole milliseconds. */
  readonly sentAt: number;
  /** Longest time for which what it had not read yet may have waited, likewise. */
  readonly behindMs: number;
}

/** A message with its whole body. */
export interface WholeFrame {
  readonly kind: 'whole';
  readonly message: Uint8Array;
  readonly body: Uint8Array;
}

/** A part of a message whose body is sent in chunks. */
export type TransferFrame =
  | {
      readonly kind: 'chunk';
      readonly transfer: number;
      /** Empty except in the first chunk. */
      readonly message: Uint8Array;
      readonly body: Uint8Array;
      readonly last: boolean;
    }
  /** The sender stops the transfer; the message is not to be handled. */
  | {readonly kind: 'discarded'; readonly transfer: number};

export type Frame = WholeFrame | TransferFrame;

export type ReceivedFrame = Frame & {readonly stamp: FrameStamp};

/** Encodes a frame. */
export function encodeFrame(frame: Frame, stamp: FrameStamp): Buffer {
  const transfer = frame.kind === 'whole' ? 0 : frame.transfer;
  const message = frame.kind === 'discarded' ? NOTHING : frame.message;
  const body = frame.kind === 'discarded' ? NOTHING : frame.body;
  const bytes = Buffer.allocUnsafe(PREFIX_BYTES + message.length + body.length);
  bytes.writeUInt8(getType(frame), 0);
  bytes.writeUIntBE(Math.floor(stamp.sentAt), SENT_AT, SENT_BYTES);
  const behindMs = Math.min(MAX_BEHIND_MS, Math.ceil(stamp.behindMs));
  bytes.writeUInt16BE(behindMs, BEHIND_AT);
  bytes.writeUInt32BE(transfer, TRANSFER_AT);
  bytes.writeUInt32BE(message.length, MESSAGE_LENGTH_AT);
  bytes.writeUInt32BE(body.length, BODY_LENGTH_AT);
  bytes.set(message, PREFIX_BYTES);
  bytes.set(body, PREFIX_BYTES + message.length);
  return bytes;
}

function getType(frame: Frame): number {
  switch (frame.kind) {
    case 'whole':
      return TYPE_WHOLE;
    case 'chunk':
      return frame.last ? TYPE_LAST_CHUNK : TYPE_CHUNK;
    case 'discarded':
      return TYPE_DISCARDED;
  }
}

/** Splits a stream of bytes into frames. */
export class FrameReader {
  private buffered: Buffer[] = [];
  private bufferedBytes = 0;
  private neededBytes = PREFIX_BYTES;

  /** Adds received bytes. */
  push(chunk: Buffer): void {
    this.buffered.push(chunk);
    this.bufferedBytes += chunk.length;
  }

  /**
   * Reads the next frame.
   * @returns The frame, a description of what is wrong with the bytes, or
   *     undefined while the frame is incomplete.
   */
  read(): ReceivedFrame | {readonly error: string} | undefined {
    if (this.bufferedBytes < this.neededBytes) {
      return undefined;
    }
    const received =
      this.buffered.length === 1
        ? this.buffered[0]
        : Buffer.concat(this.buffered);
    this.buffered = [received];
    const messageBytes = received.readUInt32BE(MESSAGE_LENGTH_AT);
    const bodyBytes = received.readUInt32BE(BODY_LENGTH_AT);
    if (messageBytes > MAX_MESSAGE_BYTES || bodyBytes > MAX_BODY_BYTES) {
      return {
        error: `frame too large: message of ${messageBytes} bytes (limit ${MAX_MESSAGE_BYTES}), body of ${bodyBytes} bytes (limit ${MAX_BODY_BYTES}); check that the peer address belongs to a proxy`,
      };
    }
    const bodyAt = PREFIX_BYTES + messageBytes;
    const end = bodyAt + bodyBytes;
    if (received.length < end) {
      this.neededBytes = end;
      return undefined;
    }
    this.buffered = received.length > end ? [received.subarray(end)] : [];
    this.bufferedBytes = received.length - end;
    this.neededBytes = PREFIX_BYTES;
    return createFrame(
      received.readUInt8(0),
      {
        sentAt: received.readUIntBE(SENT_AT, SENT_BYTES),
        behindMs: received.readUInt16BE(BEHIND_AT),
      },
      received.readUInt32BE(TRANSFER_AT),
      received.subarray(PREFIX_BYTES, bodyAt),
      received.subarray(bodyAt, end),
    );
  }
}

function createFrame(
  type: number,
  stamp: FrameStamp,
  transfer: number,
  message: Uint8Array,
  body: Uint8Array,
): ReceivedFrame | {readonly error: string} {
  switch (type) {
    case TYPE_WHOLE:
      return {kind: 'whole', stamp, message, body};
    case TYPE_CHUNK:
    case TYPE_LAST_CHUNK: {
      const last = type === TYPE_LAST_CHUNK;
      return {kind: 'chunk', stamp, transfer, message, body, last};
    }
    case TYPE_DISCARDED:
      return {kind: 'discarded', stamp, transfer};
    default:
      return {
        error: `unknown frame type ${type}; run the same build on all proxies`,
      };
  }
}
