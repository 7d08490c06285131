/** Runs and seed of random tests: fixed in CI, chosen by `npm run fuzz`. */

const CI_SEED = 20_261_203;

export interface FuzzOptions {
  readonly numRuns: number;
  readonly seed: number;
  /** CI reports the first failure as it is; `npm run fuzz` shrinks it. */
  readonly endOnFailure: boolean;
}

/**
 * Gets the options of one property and prints them.
 * @param name - The property.
 * @param ciRuns - Runs that CI makes.
 * @returns Options for `fc.assert`.
 */
export function getFuzzOptions(name: string, ciRuns: number): FuzzOptions {
  const {FUZZ_RUNS, FUZZ_SEED} = process.env;
  const numRuns = FUZZ_RUNS === undefined ? ciRuns : Number(FUZZ_RUNS);
  const seed = FUZZ_SEED === undefined ? CI_SEED : Number(FUZZ_SEED);
  console.log(`    ${name}: ${numRuns} runs, seed ${seed}`);
  return {numRuns, seed, endOnFailure: FUZZ_RUNS === undefined};
}
