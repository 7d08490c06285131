/** Runs and seed of property tests: fixed in CI, set by `npm run fuzz`. */

const CI_SEED = 20_261_203;

export interface FuzzOptions {
  readonly numRuns: number;
  readonly seed: number;
  /** True in CI, which reports a failure without shrinking it. */
  readonly endOnFailure: boolean;
}

/**
 * Gets the options of one property and prints them.
 * @param name - Name of the property.
 * @param ciRuns - Number of runs in CI.
 * @returns Options for `fc.assert`.
 */
export function getFuzzOptions(name: string, ciRuns: number): FuzzOptions {
  const {FUZZ_RUNS, FUZZ_SEED} = process.env;
  const numRuns = FUZZ_RUNS === undefined ? ciRuns : Number(FUZZ_RUNS);
  const seed = FUZZ_SEED === undefined ? CI_SEED : Number(FUZZ_SEED);
  console.log(`    ${name}: ${numRuns} runs, seed ${seed}`);
  return {numRuns, seed, endOnFailure: FUZZ_RUNS === undefined};
}
