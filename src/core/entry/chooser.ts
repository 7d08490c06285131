/** Strategy for choosing one of the upstreams that may run an attempt. */
export interface Chooser {
  /**
   * Chooses an upstream.
   * @param candidates - Upstreams that accept new work, at least one.
   * @param getCost - Returns the load of an upstream plus its distance penalty.
   * @param entropy - Random unsigned 32-bit integer.
   * @returns One of the candidates.
   */
  choose<T>(
    candidates: readonly T[],
    getCost: (upstream: T) => number,
    entropy: number,
  ): T;
}

/**
 * Chooses the cheapest of a few random upstreams (power of d choices). Load
 * reports are outdated when they are used, so if all upstreams were compared,
 * every entry would choose the same one.
 */
export class RandomChoices implements Chooser {
  /** @param count - Number of upstreams to compare; Infinity compares all. */
  constructor(private readonly count: number) {}

  choose<T>(
    candidates: readonly T[],
    getCost: (upstream: T) => number,
    entropy: number,
  ): T {
    const remaining = [...candidates];
    const compared = Math.min(this.count, remaining.length);
    let remainingEntropy = entropy;
    let best: T | undefined;
    let bestCost = Infinity;
    for (let n = 0; n < compared; n += 1) {
      const index = remainingEntropy % remaining.length;
      remainingEntropy = Math.floor(remainingEntropy / remaining.length);
      const [upstream] = remaining.splice(index, 1);
      const cost = getCost(upstream);
      if (best === undefined || cost < bestCost) {
        best = upstream;
        bestCost = cost;
      }
    }
    return best ?? candidates[0];
  }
}
