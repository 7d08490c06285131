/** Choices of an upstream that are compared with the one in use. */
import {Chooser} from '../core/entry/chooser.js';

/** Takes one after the other, whatever their load. */
export class RoundRobin implements Chooser {
  private count = 0;

  choose<T>(candidates: readonly T[]): T {
    this.count += 1;
    return candidates[this.count % candidates.length];
  }
}
