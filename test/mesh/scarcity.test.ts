/**
 * Guards against load patterns under which upstreams that are short of slots spend
 * them on what callers need least: each pattern is replayed on the cores of a fleet.
 */
import {expect} from '../support/chai_setup.js';
import {LoadPattern, PATTERNS} from './scarcity_patterns.js';
import {ScarcityReplay} from './scarcity_replay.js';
import {KindResult, ReplayResult} from './scarcity_results.js';

const SEEDS = [1, 2, 3];

/** Share of runs whose work may be lost. */
const MAX_WASTED_SHARE = 0.03;

/**
 * Least mean utility by pattern, as a share of that of unlimited slots: 0.04 below what
 * was measured, as equal variants differ by about 0.02.
 */
const MIN_UTILITY: Readonly<Record<string, number>> = {
  'burst of the cheap kind': 0.61,
  'burst of the dear kind': 0.89,
  'burst of all': 0.6,
  'uneven speeds': 0.95,
  'uneven speeds after a restart': 0.94,
  'demand that swings': 0.83,
  'callers that return at once': 0.625,
};

/** Runs a pattern with each seed. */
function replay(pattern: LoadPattern): ReplayResult[] {
  return SEEDS.map(seed => new ScarcityReplay(pattern, seed).run());
}

function sum(
  results: readonly ReplayResult[],
  read: (kind: KindResult) => number,
): number {
  const kinds = results.flatMap(result => [...result.kinds.values()]);
  return kinds.reduce((total, kind) => total + read(kind), 0);
}

function countServed({inTime, late}: KindResult): number {
  return inTime + late;
}

describe('demand above capacity', () => {
  for (const pattern of PATTERNS) {
    describe(pattern.name, () => {
      let results: ReplayResult[] = [];

      before(() => {
        results = replay(pattern);
      });

      it('ends every caller once', () => {
        const ended = sum(results, kind => {
          const {inTime, late, refusedOnArrival, refusedAfterWait} = kind;
          const served = inTime + late;
          const refused = refusedOnArrival + refusedAfterWait;
          return served + refused + kind.failed + kind.expired;
        });
        expect(ended).to.equal(sum(results, kind => kind.callers));
      });

      it('spends the slots on what callers need most', () => {
        const total = results.reduce((n, {utility}) => n + utility, 0);
        expect(total / SEEDS.length).to.be.above(MIN_UTILITY[pattern.name]);
      });

      it('wastes few runs', () => {
        const wasted = sum(results, kind => kind.wastedRuns);
        const runs = sum(results, kind => kind.runs);
        expect(wasted).to.be.below(runs * MAX_WASTED_SHARE);
      });

      it('serves the least urgent kind a quarter as often as all', () => {
        const least = results.map(({kinds}) => kinds.get('health-history')!);
        const served = least.reduce((n, kind) => n + countServed(kind), 0);
        const asked = least.reduce((n, kind) => n + kind.callers, 0);
        const allServed = sum(results, countServed);
        const allAsked = sum(results, kind => kind.callers);
        expect(served / asked).to.be.above(allServed / allAsked / 4);
      });
    });
  }

  it('gives the same result for the same seed', () => {
    const [pattern] = PATTERNS;
    const first = new ScarcityReplay(pattern, 1).run();
    expect(new ScarcityReplay(pattern, 1).run()).to.deep.equal(first);
  });
});
