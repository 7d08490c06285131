/**
 * Guards against runs that hold a slot without working, because the call that they
 * wait for finds all slots of another upstream in long runs.
 */
import {expect} from '../support/chai_setup.js';
import {MeshFixture, createAttempt, createInstance} from './mesh_fixture.js';

const SLOTS = 4;

/** Fills all slots, sends a nested attempt, and ends the run `long-1`. */
function createBusyOwner(nested: {readonly slotWanted?: boolean}): MeshFixture {
  const owner = new MeshFixture();
  owner.loadFromSource([createInstance(1, {slots: SLOTS})]);
  for (let n = 1; n <= SLOTS; n += 1) {
    arrive(owner, `long-${n}`);
  }
  arrive(owner, 'nested', {nested: true, ...nested});
  end(owner, 'long-1');
  owner.drainEffects();
  return owner;
}

function arrive(owner: MeshFixture, attemptId: string, overrides = {}): void {
  const attempt = createAttempt({attemptId, aimMs: 1_200, ...overrides});
  owner.post({kind: 'attemptArrived', attempt});
}

function end(owner: MeshFixture, attemptId: string): void {
  const body = new Uint8Array(0);
  const answer = {kind: 'answer', status: 200, headers: {}, body} as const;
  const facts = {notRun: false, otherInstance: false};
  owner.post({kind: 'upstreamAnswered', attemptId, answer, facts});
}

/** Ends the nested run, and reports whether another attempt gets its slot. */
function startsAfterNested(owner: MeshFixture): boolean {
  arrive(owner, 'next');
  end(owner, 'nested');
  return owner.drainEffects().includes('dispatch next');
}

describe('the slot that is kept for nested calls', () => {
  it('is left free after one found none while its run was in the way', () => {
    const owner = createBusyOwner({slotWanted: true});
    expect(startsAfterNested(owner)).to.equal(false);
    arrive(owner, 'nested-2', {nested: true});
    expect(owner.drainEffects()).to.deep.equal(['dispatch nested-2']);
  });

  it('is used again after a time without such calls', () => {
    const owner = createBusyOwner({slotWanted: true});
    startsAfterNested(owner);
    owner.advance(2_600);
    arrive(owner, 'later');
    expect(owner.drainEffects().join()).to.contain('dispatch later');
  });

  it('is not kept while nobody waits for the slot of the run', () => {
    expect(startsAfterNested(createBusyOwner({}))).to.equal(true);
  });
});
