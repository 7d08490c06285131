/** What requests and answers take in memory. */
import {MAX_ORDINARY_BYTES} from '../proxy/memory_budget.js';

/** Objects of a request or an answer beside its headers and its body. */
const OVERHEAD_BYTES = 1_024;

/**
 * Heap that a header field takes beside the characters of its name and value: its
 * strings, and its entries in the lists and tables of the received and the sent head.
 */
export const FIELD_BYTES = 256;

type Headers = Readonly<Record<string, string | readonly string[] | undefined>>;

/**
 * Counts what a request or an answer takes without its body.
 * @returns Bytes, approximately.
 */
export function countHeadBytes(headers: Headers): number {
  let bytes = OVERHEAD_BYTES;
  for (const [name, value] of Object.entries(headers)) {
    bytes += FIELD_BYTES + name.length + countValueBytes(value ?? '');
  }
  return bytes;
}

function countValueBytes(value: string | readonly string[]): number {
  return typeof value === 'string'
    ? value.length
    : value.reduce((sum, {length}) => sum + length, 0);
}

/**
 * Counts what a request takes until it ends. A large body counts by itself, until it is
 * free.
 * @returns Bytes, approximately.
 */
export function countRequestBytes(headers: Headers, body: Uint8Array): number {
  const bodyBytes = body.length > MAX_ORDINARY_BYTES ? 0 : body.length;
  return countHeadBytes(headers) + bodyBytes;
}
