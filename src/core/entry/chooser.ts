/** Chooses one of the upstreams that may take an attempt. */
import {UpstreamTarget} from '../config/routing_table.js';

export interface Chooser {
  /**
   * Chooses an upstream.
   * @param candidates - Upstreams that take new work, at least one.
   * @param getCost - Load of one, with the penalty for its distance.
   * @param entropy - Random unsigned 32-bit integer.
   * @returns One of the candidates.
   */
  choose(
    candidates: readonly UpstreamTarget[],
    getCost: (upstream: UpstreamTarget) => number,
    entropy: number,
  ): UpstreamTarget;
}

/**
 * Takes the better of two random upstreams. Load reports are old when they
 * are used, so choosing the best of all would send every entry to the same.
 */
export class TwoChoices implements Chooser {
  choose(
    candidates: readonly UpstreamTarget[],
    getCost: (upstream: UpstreamTarget) => number,
    entropy: number,
  ): UpstreamTarget {
    const count = candidates.length;
    if (count === 1) {
      return candidates[0];
    }
    const first = candidates[entropy % count];
    const step = 1 + ((entropy >>> 16) % (count - 1));
    const second = candidates[((entropy % count) + step) % count];
    return getCost(first) <= getCost(second) ? first : second;
  }
}
