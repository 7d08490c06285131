/** Requests, and request bodies in the forms in which clients send them. */
import {createHash} from 'node:crypto';
import {HEADER_NAMES} from '../../../platform/header_names.js';

export const KIB = 1_024;
export const MIB = 1_024 * KIB;
export const GIB = 1_024 * MIB;

const PIECE_BYTES = 64 * KIB;

/** Bytes of a chunk that holds one byte: its size, the byte, and two line ends. */
const SMALL_CHUNK_BYTES = 6;

/** Time that clients wait for an answer, in milliseconds. */
const DEADLINE_MS = 30_000;

/** How a body is sent, in order of the size of its parts. */
export type BodyForm =
  /** With a length, in one write. */
  | 'whole'
  /** With a length, in writes of 64 KiB. */
  | 'in pieces'
  /** In chunks of 64 KiB. */
  | 'in large chunks'
  /** In chunks of one byte. */
  | 'in small chunks';

/** Creates a body whose pieces differ from their neighbors. */
export function createBody(bytes: number): Buffer {
  const body = Buffer.alloc(bytes);
  for (let at = 0, n = 1; at < bytes; at += PIECE_BYTES, n += 1) {
    body.fill((n % 25) + 97, at, Math.min(bytes, at + PIECE_BYTES));
  }
  return body;
}

/** Summarizes a body like `answerWithSummary` of an upstream. */
export function describeBody(body: Uint8Array): string {
  return `${body.length} ${createHash('sha1').update(body).digest('hex')}`;
}

function* splitBody(body: Buffer): Generator<Buffer> {
  for (let at = 0; at < body.length; at += PIECE_BYTES) {
    yield body.subarray(at, at + PIECE_BYTES);
  }
}

/** Encodes each byte as a chunk of its own. */
export function encodeSmallChunks(body: Buffer): Buffer {
  const encoded = Buffer.alloc(body.length * SMALL_CHUNK_BYTES, '1\r\n?\r\n');
  body.forEach((byte, n) => {
    encoded[n * SMALL_CHUNK_BYTES + 3] = byte;
  });
  return encoded;
}

function encodeChunk(body: Buffer): Buffer {
  return Buffer.concat([
    Buffer.from(`${body.length.toString(16)}\r\n`),
    body,
    Buffer.from('\r\n'),
  ]);
}

/** Encodes a body; parts can be sent to any number of clients. */
export function encodeBody(form: BodyForm, body: Buffer): readonly Buffer[] {
  const end = Buffer.from('0\r\n\r\n');
  switch (form) {
    case 'whole':
      return [body];
    case 'in pieces':
      return [...splitBody(body)];
    case 'in large chunks':
      return [...[...splitBody(body)].map(encodeChunk), end];
    case 'in small chunks':
      return [...splitBody(encodeSmallChunks(body)), end];
  }
}

/** Leaves out the last bytes of a body that was encoded. */
export function cutShort(
  parts: readonly Buffer[],
  bytes: number,
): readonly Buffer[] {
  const total = parts.reduce((sum, {length}) => sum + length, 0);
  const kept: Buffer[] = [];
  let left = total - bytes;
  for (const part of parts) {
    kept.push(part.subarray(0, left));
    left = Math.max(0, left - part.length);
  }
  return kept;
}

/**
 * Creates the head of a request.
 * @param method - Method.
 * @param path - Path.
 * @param id - Identifier of the request.
 * @param body - Length of the body in bytes, or `chunked`; undefined: no body.
 */
export function createHead(
  method: string,
  path: string,
  id: string,
  body?: number | 'chunked',
): Buffer {
  const lines = [
    `${method} ${path} HTTP/1.1`,
    'Host: shop.example',
    `${HEADER_NAMES.requestId}: ${id}`,
    `${HEADER_NAMES.timeoutMs}: ${DEADLINE_MS}`,
  ];
  if (body === 'chunked') {
    lines.push('Transfer-Encoding: chunked');
  } else if (body !== undefined) {
    lines.push(`Content-Length: ${body}`);
  }
  return Buffer.from(`${lines.join('\r\n')}\r\n\r\n`);
}

/** Creates the head for a body that is sent whole, in the given form. */
export function createUploadHead(
  form: BodyForm,
  path: string,
  id: string,
  bytes: number,
): Buffer {
  const hasLength = form === 'whole' || form === 'in pieces';
  return createHead('POST', path, id, hasLength ? bytes : 'chunked');
}
