/** Outcomes that an owner keeps: within bounds, and counted. */
import {KeptOutcomes} from '../../src/mesh/kept_outcomes.js';
import {Link} from '../../src/mesh/link.js';
import {MemoryBudget} from '../../src/proxy/memory_budget.js';
import {expect} from '../support/chai_setup.js';

const MIB = 1_048_576;

describe('kept outcomes', () => {
  const link = {} as Link;
  const claim = {priority: 0, nested: false, aimAt: 0};

  // Guards against hundreds of whole answers of megabytes for links that may break.
  it('are the latest ones that take few megabytes together', () => {
    const budget = new MemoryBudget(10 * MIB, 0);
    const kept = new KeptOutcomes(budget);
    const keep = (attemptId: string, bytes: number) => {
      const body = Buffer.alloc(bytes);
      const result = {kind: 'answer', status: 200, headers: {}, body} as const;
      const outcome = {result, reachedUpstream: true};
      kept.keep(attemptId, {outcome, claim}, link);
      expect(budget.usedBytes).to.be.within(1, 4 * MIB);
    };
    keep('a-small', 100);
    for (let n = 0; n < 8; n += 1) {
      keep(`a-${n}`, MIB * 0.9);
    }
    keep('a-large', 2 * MIB);
    expect(kept.find('a-large')).not.to.equal(undefined);
    kept.dropLargeOf({} as Link);
    expect(kept.find('a-large')).not.to.equal(undefined);
    kept.dropLargeOf(link);
    const found = ['a-small', 'a-3', 'a-4', 'a-7', 'a-large'].filter(
      attemptId => kept.find(attemptId) !== undefined,
    );
    expect(found).to.deep.equal(['a-4', 'a-7']);
    for (let n = 0; n < 300; n += 1) {
      keep(`b-${n}`, 10);
    }
    expect(kept.find('b-43')).to.equal(undefined);
    expect(kept.find('b-44')).not.to.equal(undefined);
    expect(budget.usedBytes).to.be.below(256 * 2_000);
  });
});
