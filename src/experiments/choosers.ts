/** Choices of an upstream that are compared with the one in use. */
import {UpstreamTarget} from '../core/config/routing_table.js';
import {Chooser} from '../core/entry/chooser.js';

/** Takes one after the other, whatever their load. */
export class RoundRobin implements Chooser {
  private count = 0;

  choose(candidates: readonly UpstreamTarget[]): UpstreamTarget {
    this.count += 1;
    return candidates[this.count % candidates.length];
  }
}
