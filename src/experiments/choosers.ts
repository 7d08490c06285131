/** Choices of an upstream that are compared with the one in use. */
import {UpstreamTarget} from '../core/config/routing_table.js';
import {Chooser} from '../core/entry/chooser.js';

/** Takes the best of a few random upstreams. */
export class RandomChoices implements Chooser {
  /** @param count - How many are compared; Infinity compares all. */
  constructor(private readonly count: number) {}

  choose(
    candidates: readonly UpstreamTarget[],
    getCost: (upstream: UpstreamTarget) => number,
    entropy: number,
  ): UpstreamTarget {
    const left = [...candidates];
    const compared: UpstreamTarget[] = [];
    let chance = entropy;
    while (left.length > 0 && compared.length < this.count) {
      const [chosen] = left.splice(chance % left.length, 1);
      compared.push(chosen);
      chance = Math.floor(chance / (left.length + 1));
    }
    return compared.reduce((best, other) =>
      getCost(other) < getCost(best) ? other : best,
    );
  }
}

/** Takes one after the other, whatever their load. */
export class RoundRobin implements Chooser {
  private count = 0;

  choose(candidates: readonly UpstreamTarget[]): UpstreamTarget {
    this.count += 1;
    return candidates[this.count % candidates.length];
  }
}
