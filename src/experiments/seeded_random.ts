/** Reproducible random numbers. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {RandomGenerator} from 'pure-rand/types/RandomGenerator';

const UINT32_RANGE = 2 ** 32;

/** Generator of random numbers that are determined by a seed. */
export class SeededRandom {
  private readonly generator: RandomGenerator;

  /** @param seed - Generators with the same seed return the same numbers. */
  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** @returns A uniformly distributed number, at least 0 and below 1. */
  getFraction(): number {
    return uniformFloat64(this.generator);
  }

  /** @returns A uniformly distributed unsigned 32-bit integer. */
  getUint32(): number {
    return Math.floor(this.getFraction() * UINT32_RANGE);
  }

  /**
   * Draws from an exponential distribution.
   * @param mean - The mean of the distribution.
   * @returns A number of at least 0.
   */
  getExponential(mean: number): number {
    return -mean * Math.log(1 - this.getFraction());
  }
}
