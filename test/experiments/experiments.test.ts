import {DEFAULT_POLICY} from '../../src/core/policy.js';
import {createComparisons} from '../../src/experiments/candidates.js';
import {Experiment, SLOTS_PER_OWNER} from '../../src/experiments/experiment.js';
import {FAULTS, runFault} from '../../src/experiments/faults.js';
import {Measures} from '../../src/experiments/measures.js';
import {getMedian} from '../../src/experiments/tables.js';
import {VirtualClock} from '../../src/experiments/virtual_clock.js';
import {expect} from '../support/chai_setup.js';

const DURATIONS = {before: 1_000, fault: 4_000, after: 4_000};
const SEED = 7;

/**
 * Runs a candidate under a fault; also checks that no upstream exceeded its
 * slots and that every call got a result.
 */
function run(fault: string, candidateName = 'in use'): Measures {
  const candidate = createComparisons()
    .flatMap(({candidates}) => candidates)
    .find(({name}) => name === candidateName);
  const found = FAULTS.find(({name}) => name === fault);
  if (candidate === undefined || found === undefined) {
    throw new Error(`No candidate ${candidateName} or fault ${fault}.`);
  }
  const experiment = new Experiment(candidate, SEED);
  const measures = runFault(experiment, found, DURATIONS);
  const maxRunning = Math.max(...experiment.upstreams.map(u => u.maxRunning));
  expect(maxRunning).to.be.at.most(SLOTS_PER_OWNER);
  expect(experiment.records.filter(r => r.result === 'open')).to.deep.equal([]);
  return measures;
}

describe('policy under faults', () => {
  it('gives the same figures for the same seed', () => {
    expect(run('cold')).to.deep.equal(run('cold'));
  });

  it('recovers soon after an overload, and refuses fast during it', () => {
    const {recoveryMs, refusalP50, interactive} = run('overload');
    const unlimited = run('overload', 'unlimited queue');
    expect(recoveryMs).to.be.at.most(1_000);
    expect(refusalP50).to.be.below(20);
    expect(interactive).to.be.above(unlimited.interactive);
  });

  it('keeps answering while health endpoints mislead', () => {
    expect(run('misleading').interactive).to.be.above(50);
  });

  it('answers nearly all calls while one upstream is slow', () => {
    expect(run('slow').goodput).to.be.above(90);
  });

  it('includes the policy in use among the candidates', () => {
    const names = createComparisons().flatMap(({candidates}) =>
      candidates.map(({name}) => name),
    );
    expect(names).to.include('in use');
    expect(DEFAULT_POLICY.refusesUnmeetableDeadlines).to.equal(true);
  });
});

describe('the virtual clock', () => {
  it('runs events by time, and those of the same time in scheduling order', () => {
    const clock = new VirtualClock(0);
    const seen: string[] = [];
    for (const [at, name] of [
      [5, 'c'],
      [1, 'a'],
      [5, 'd'],
      [3, 'b'],
      [9, 'late'],
    ] as const) {
      clock.schedule(at, () => seen.push(name));
    }
    clock.runUntil(5);
    expect({seen, now: clock.now}).to.deep.equal({
      seen: ['a', 'b', 'c', 'd'],
      now: 5,
    });
  });
});

describe('medians', () => {
  it('are correct for an odd and an even number of values', () => {
    expect([getMedian([1, 2, 9]), getMedian([1, 2, 4, 9])]).to.deep.equal([
      2, 3,
    ]);
  });
});
