/** Attempts that are read late, and callers that may have left before a run starts. */
import {MAX_UNCONFIRMED_MS} from '../../src/core/mesh/caller_presence.js';
import {expect} from '../support/chai_setup.js';
import {MeshFixture, createAttempt, createInstance} from './mesh_fixture.js';

/** The users' bound on the time from a caller's departure to the start of a run. */
const MAX_START_MS = 500;

function createOwner(slots = 1): MeshFixture {
  const owner = new MeshFixture();
  owner.loadFromSource([createInstance(1, {slots}), createInstance(2)]);
  owner.drainEffects();
  return owner;
}

function deliver(
  owner: MeshFixture,
  attemptId: string,
  unconfirmedMs: number,
  ageMs = 0,
): void {
  const attempt = createAttempt({attemptId});
  owner.post({kind: 'attemptArrived', attempt, ageMs, unconfirmedMs});
}

function confirm(owner: MeshFixture, attemptId: string, ms: number): void {
  const unconfirmedMs = new Map([[attemptId, ms]]);
  owner.post({kind: 'callersConfirmed', unconfirmedMs});
}

function answer(owner: MeshFixture, attemptId: string): void {
  owner.post({
    kind: 'upstreamAnswered',
    attemptId,
    answer: {
      kind: 'answer',
      status: 200,
      headers: {},
      body: new Uint8Array(0),
    },
    facts: {notRun: false, otherInstance: false},
  });
}

describe('presence of callers', () => {
  it('is confirmed before an attempt starts that was read late', () => {
    const owner = createOwner();
    deliver(owner, 'late', MAX_UNCONFIRMED_MS + 1);
    expect(owner.drainEffects()).to.deep.equal([]);
    confirm(owner, 'late', 3);
    expect(owner.drainEffects()).to.deep.equal(['dispatch late']);
  });

  it('is not needed anew where it is recent', () => {
    const owner = createOwner();
    deliver(owner, 'recent', MAX_UNCONFIRMED_MS - 1);
    expect(owner.drainEffects()).to.deep.equal(['dispatch recent']);
  });

  it('lets no attempt of a silent entry start, and others pass it', () => {
    const owner = createOwner();
    deliver(owner, 'running', 0);
    deliver(owner, 'silent', 0);
    owner.drainEffects();
    owner.at += MAX_START_MS;
    deliver(owner, 'other', 0);
    answer(owner, 'running');
    answer(owner, 'other');
    owner.advance(400);
    const effects = owner.drainEffects();
    expect(effects).to.include('dispatch other');
    expect(effects).not.to.include('dispatch silent');
  });

  it('does not revive an attempt that was cancelled meanwhile', () => {
    const owner = createOwner();
    deliver(owner, 'left', MAX_UNCONFIRMED_MS + 1);
    owner.post({kind: 'attemptCancelled', attemptId: 'left'});
    confirm(owner, 'left', 0);
    expect(owner.drainEffects()).not.to.include('dispatch left');
  });

  for (let leftMs = 0; leftMs <= 1_000; leftMs += 100) {
    it(`bounds a start by time if a caller leaves after ${leftMs} ms unheard`, () => {
      const owner = createOwner();
      deliver(owner, 'running', 0);
      deliver(owner, 'left', 0);
      const arrivedAt = owner.at;
      for (let ms = 0; ms < leftMs; ms += 50) {
        owner.at += 50;
        confirm(owner, 'left', 5);
      }
      owner.at = arrivedAt + leftMs + MAX_START_MS;
      owner.drainEffects();
      answer(owner, 'running');
      expect(owner.drainEffects()).not.to.include('dispatch left');
    });
  }
});

describe('time for which something lay unread', () => {
  it('counts for the deadline of an attempt', () => {
    const owner = createOwner();
    deliver(owner, 'late', 0, 1_190);
    expect(owner.drainEffects()).to.deep.equal([
      'finishAttempt late deadline_too_short reached=false',
    ]);
  });

  it('is taken from the time that the upstream gets', () => {
    const owner = createOwner();
    const attempt = createAttempt();
    const arrived = {kind: 'attemptArrived', attempt, ageMs: 200} as const;
    const dispatch = owner
      .post(arrived)
      .find(effect => effect.kind === 'dispatch');
    expect(dispatch?.timeoutMs).to.equal(1_000);
  });

  it('counts for the deadline of a call', () => {
    const entry = new MeshFixture();
    entry.loadFromSource([createInstance(2)]);
    const sent = entry
      .post({
        kind: 'callArrived',
        callId: 'c-1',
        unreadMs: 150,
        call: {
          requestId: 'r-1',
          host: 'shop.example',
          path: '/read/1',
          timeoutMs: 551,
          bodyBytes: 0,
          fingerprint: 'f-1',
        },
      })
      .find(effect => effect.kind === 'sendAttempt');
    expect(sent?.attempt.timeoutMs).to.equal(401);
    expect(sent?.attempt.aimMs).to.equal(250);
  });
});
