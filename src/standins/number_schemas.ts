/** Schemas of integers that arrive as text: options, queries and headers. */
import * as z from 'zod';

const DIGITS_PATTERN = /^\d{1,15}$/;
const MAX_PORT = 65_535;

/**
 * Creates a schema that accepts an integer, or a string of decimal digits.
 * @param max - Largest accepted value.
 * @param min - Smallest accepted value.
 * @returns The schema, whose output is a number.
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
