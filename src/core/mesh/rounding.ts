/** Rounding of numbers that are sent to peers, which saves bytes. */

/** Rounds to two decimals, which is precise enough for milliseconds and shares. */
export function roundToHundredths(value: number): number {
  return Math.round(value * 100) / 100;
}
