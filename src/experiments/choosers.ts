/** Strategies for choosing an upstream, to compare with the one in use. */
import {Chooser} from '../core/entry/chooser.js';

/** Chooses the upstreams in turn, regardless of their load. */
export class RoundRobinChooser implements Chooser {
  private count = 0;

  choose<T>(candidates: readonly T[]): T {
    this.count += 1;
    return candidates[this.count % candidates.length];
  }
}
