/** Whole numbers that arrive as text, from command lines, queries and headers. */
import * as z from 'zod';

const DIGITS_PATTERN = /^\d{1,15}$/;
const MAX_PORT = 65_535;

/**
 * Makes a schema of whole numbers, written as numbers or as digits.
 * @param max - Highest number accepted.
 * @param min - Lowest number accepted.
 * @returns The schema.
 */
export function createIntegerSchema(max = Number.MAX_SAFE_INTEGER, min = 0) {
  return z
    .union(
      [z.number(), z.string().regex(DIGITS_PATTERN).transform(Number)],
      'use a whole number, in digits only',
    )
    .pipe(z.int().min(min).max(max));
}

export const PortSchema = createIntegerSchema(MAX_PORT);
