/** Seeded random numbers. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {RandomGenerator} from 'pure-rand/types/RandomGenerator';

const UINT32_RANGE = 2 ** 32;

export class SeededRandom {
  private readonly generator: RandomGenerator;

  /** @param seed - Two with the same seed give the same numbers. */
  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** @returns A number from 0 up to 1. */
  getFraction(): number {
    return uniformFloat64(this.generator);
  }

  /** @returns An unsigned 32-bit integer. */
  getUint32(): number {
    return Math.floor(this.getFraction() * UINT32_RANGE);
  }

  /**
   * Draws from an exponential distribution.
   * @param mean - Its mean.
   * @returns A number above 0.
   */
  getExponential(mean: number): number {
    return -mean * Math.log(1 - this.getFraction());
  }
}
