/**
 * Frames on a link between two proxies. A frame is a type (1 byte), the sender's time
 * (48 bits), how far behind it was with reading (16 bits), a transfer id, the length of
 * the message and that of the body in the frame (32 bits each), in chunks the length of
 * the whole body and in grants the bytes that may be sent (32 bits), the encoded
 * message, and the body or a part of it. All numbers are big-endian.
 */
import {MAX_WHOLE_BODY_BYTES} from '../core/mesh/link_rate.js';

const TYPE_WHOLE = 0;
const TYPE_CHUNK = 1;
const TYPE_LAST_CHUNK = 2;
const TYPE_DISCARDED = 3;
const TYPE_GRANTED = 4;

const LENGTH_BYTES = 4;
const SENT_AT = 1;
const SENT_BYTES = 6;
const BEHIND_AT = SENT_AT + SENT_BYTES;
const BEHIND_BYTES = 2;
const TRANSFER_AT = BEHIND_AT + BEHIND_BYTES;
const MESSAGE_LENGTH_AT = TRANSFER_AT + LENGTH_BYTES;
const BODY_LENGTH_AT = MESSAGE_LENGTH_AT + LENGTH_BYTES;
const PREFIX_BYTES = BODY_LENGTH_AT + LENGTH_BYTES;

/** In chunks and grants. */
const BODY_TOTAL_AT = PREFIX_BYTES;

const MAX_MESSAGE_BYTES = 8 * 1_048_576;

/** Largest body, or part of one, in a frame. */
const MAX_BODY_BYTES = MAX_WHOLE_BODY_BYTES;

/** Largest time that is sent; one that is longer is sent as this. */
const MAX_BEHIND_MS = 2 ** (8 * BEHIND_BYTES) - 1;

const NOTHING = new Uint8Array(0);
const EMPTY_FRAME = {message: NOTHING, body: NOTHING};

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
      /** Length of the whole body. */
      readonly bodyTotal: number;
      /** Empty except in the first chunk. */
      readonly message: Uint8Array;
      readonly body: Uint8Array;
      readonly last: boolean;
    }
  /** The sender stops the transfer; the message is not to be handled. */
  | {readonly kind: 'discarded'; readonly transfer: number}
  | GrantFrame;

/** The receiver of a body lets its sender send the first bytes of it. */
export interface GrantFrame {
  readonly kind: 'granted';
  readonly transfer: number;
  /** Bytes from the start of the body, those sent before included. */
  readonly bytes: number;
}

export type Frame = WholeFrame | TransferFrame;

export type ReceivedFrame = Frame & {readonly stamp: FrameStamp};

/** Encodes a frame. */
export function encodeFrame(frame: Frame, stamp: FrameStamp): Buffer {
  const type = getType(frame);
  const transfer = frame.kind === 'whole' ? 0 : frame.transfer;
  const {message, body} = 'message' in frame ? frame : EMPTY_FRAME;
  const headBytes = getHeadBytes(type);
  const bytes = Buffer.allocUnsafe(headBytes + message.length + body.length);
  bytes.writeUInt8(type, 0);
  bytes.writeUIntBE(Math.floor(stamp.sentAt), SENT_AT, SENT_BYTES);
  const behindMs = Math.min(MAX_BEHIND_MS, Math.ceil(stamp.behindMs));
  bytes.writeUInt16BE(behindMs, BEHIND_AT);
  bytes.writeUInt32BE(transfer, TRANSFER_AT);
  bytes.writeUInt32BE(message.length, MESSAGE_LENGTH_AT);
  bytes.writeUInt32BE(body.length, BODY_LENGTH_AT);
  if (frame.kind === 'chunk') {
    bytes.writeUInt32BE(frame.bodyTotal, BODY_TOTAL_AT);
  } else if (frame.kind === 'granted') {
    bytes.writeUInt32BE(frame.bytes, BODY_TOTAL_AT);
  }
  bytes.set(message, headBytes);
  bytes.set(body, headBytes + message.length);
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
    case 'granted':
      return TYPE_GRANTED;
  }
}

/** Gets the number of bytes before the message. */
function getHeadBytes(type: number): number {
  const isLonger =
    type === TYPE_CHUNK || type === TYPE_LAST_CHUNK || type === TYPE_GRANTED;
  return isLonger ? BODY_TOTAL_AT + LENGTH_BYTES : PREFIX_BYTES;
}

/**
 * Gets the length of a frame from its first bytes, as far as they tell it.
 * @returns Bytes, or a description of what is wrong with them.
 */
export function getFrameBytes(
  received: Buffer,
): number | {readonly error: string} {
  if (received.length < PREFIX_BYTES) {
    return PREFIX_BYTES;
  }
  const messageBytes = received.readUInt32BE(MESSAGE_LENGTH_AT);
  const bodyBytes = received.readUInt32BE(BODY_LENGTH_AT);
  if (messageBytes > MAX_MESSAGE_BYTES || bodyBytes > MAX_BODY_BYTES) {
    return {
      error: `frame too large: message of ${messageBytes} bytes (limit ${MAX_MESSAGE_BYTES}), body of ${bodyBytes} bytes (limit ${MAX_BODY_BYTES}); check that the peer address belongs to a proxy`,
    };
  }
  return getHeadBytes(received.readUInt8(0)) + messageBytes + bodyBytes;
}

/**
 * Decodes a frame.
 * @param bytes - All of its bytes and no others.
 * @returns The frame, whose parts share the bytes, or what is wrong with them.
 */
export function decodeFrame(
  bytes: Buffer,
): ReceivedFrame | {readonly error: string} {
  const type = bytes.readUInt8(0);
  const stamp = {
    sentAt: bytes.readUIntBE(SENT_AT, SENT_BYTES),
    behindMs: bytes.readUInt16BE(BEHIND_AT),
  };
  const transfer = bytes.readUInt32BE(TRANSFER_AT);
  const messageAt = getHeadBytes(type);
  const bodyAt = messageAt + bytes.readUInt32BE(MESSAGE_LENGTH_AT);
  const message = bytes.subarray(messageAt, bodyAt);
  const body = bytes.subarray(bodyAt);
  switch (type) {
    case TYPE_WHOLE:
      return {kind: 'whole', stamp, message, body};
    case TYPE_CHUNK:
    case TYPE_LAST_CHUNK: {
      const last = type === TYPE_LAST_CHUNK;
      const bodyTotal = bytes.readUInt32BE(BODY_TOTAL_AT);
      return {kind: 'chunk', stamp, transfer, bodyTotal, message, body, last};
    }
    case TYPE_DISCARDED:
      return {kind: 'discarded', stamp, transfer};
    case TYPE_GRANTED: {
      const granted = bytes.readUInt32BE(BODY_TOTAL_AT);
      return {kind: 'granted', stamp, transfer, bytes: granted};
    }
    default:
      return {
        error: `unknown frame type ${type}; run the same build on all proxies`,
      };
  }
}
