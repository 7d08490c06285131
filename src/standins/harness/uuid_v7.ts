/** Idempotency keys that tell when they were made. */
import {randomBytes} from 'node:crypto';

const RANDOM_BYTES = 10;
const TIME_HEX_DIGITS = 12;
const VERSION_BITS = 0x70;
const VARIANT_BITS = 0x80;

/**
 * Makes a UUID of version 7.
 * @param at - Unix milliseconds that it carries.
 * @returns The UUID.
 */
export function createUuidV7(at: number): string {
  const random = randomBytes(RANDOM_BYTES);
  random[0] = VERSION_BITS | (random[0] & 0x0f);
  random[2] = VARIANT_BITS | (random[2] & 0x3f);
  const hex =
    at.toString(16).padStart(TIME_HEX_DIGITS, '0') + random.toString('hex');
  return hex.replace(/^(.{8})(.{4})(.{4})(.{4})(.{12})$/, '$1-$2-$3-$4-$5');
}
