/** How fast bytes leave a VM whose bandwidth is known. */

/**
 * Share of the bandwidth that is used on purpose. What is left over keeps queues
 * below the process short although headers of packets are not counted.
 */
const USABLE_SHARE = 0.94;

const BITS_PER_BYTE = 8;
const BITS_PER_MS_OF_MBPS = 1_000;

/**
 * Bodies up to this size are sent at once, in bytes; larger ones in chunks of this
 * size, when their turn comes.
 */
export const MAX_WHOLE_BODY_BYTES = 8_192;

/** Returns the time that bytes take on a connection, in milliseconds. */
export function getSendMs(bytes: number, mbps: number): number {
  return (bytes * BITS_PER_BYTE) / (mbps * BITS_PER_MS_OF_MBPS);
}

/** Returns the bytes that a connection carries within a time in milliseconds. */
export function getSendBytes(ms: number, mbps: number): number {
  return (ms * mbps * BITS_PER_MS_OF_MBPS) / BITS_PER_BYTE;
}

/** Returns the time in which bytes are sent at the rate of large bodies. */
export function getPacedMs(bytes: number, mbps: number): number {
  return getSendMs(bytes, mbps * USABLE_SHARE);
}

/** Returns the bytes of large bodies that are sent within a time in milliseconds. */
export function getPacedBytes(ms: number, mbps: number): number {
  return getSendBytes(ms, mbps * USABLE_SHARE);
}
