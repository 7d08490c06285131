/** Chooses one of the upstreams that may take an attempt. */
export interface Chooser {
  /**
   * Chooses an upstream.
   * @param candidates - Upstreams that take new work, at least one.
   * @param getCost - Load of one, with the penalty for its distance.
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
 * Takes the best of a few random upstreams. Load reports are old when they
 * are used, so choosing the best of all would send every entry to the same.
 */
export class RandomChoices implements Chooser {
  /** @param count - How many are compared; Infinity compares all. */
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
