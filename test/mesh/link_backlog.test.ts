/** Replays downloads at an owner whose VM has a narrow connection. */
import {WaitingBytes} from '../../src/core/mesh/link_backlog.js';
import {MeshEffect} from '../../src/core/mesh/mesh_types.js';
import {MeshAttempt} from '../../src/model/mesh.js';
import {LoadReport} from '../../src/model/peer.js';
import {expect} from '../support/chai_setup.js';
import {MeshFixture, createAttempt, createInstance} from './mesh_fixture.js';

const LINK_MBPS = 14;
const DOWNLOAD_BYTES = 90_000;
const ROUTE_AIM_MS = 669;
const RUN_MS = 124;

let attempts = 0;

function createDownload(overrides: Partial<MeshAttempt> = {}): MeshAttempt {
  attempts += 1;
  return createAttempt({
    attemptId: `a-${attempts}`,
    route: 'pull',
    aimMs: ROUTE_AIM_MS,
    timeoutMs: 2_789,
    routeAimMs: ROUTE_AIM_MS,
    ...overrides,
  });
}

/** Ends a run with an answer of some size. */
function answer(owner: MeshFixture, attemptId: string, bytes: number): void {
  owner.at += RUN_MS;
  const body = new Uint8Array(bytes);
  owner.post({
    kind: 'upstreamAnswered',
    attemptId,
    answer: {kind: 'answer', status: 200, headers: {}, body},
    facts: {notRun: false, otherInstance: false},
  });
}

/** Creates an owner that has served a download and a small answer. */
function createOwner(linkMbps = LINK_MBPS): MeshFixture {
  const owner = new MeshFixture({linkMbps});
  owner.loadFromSource([createInstance(1, {slots: 40})]);
  for (const [route, bytes] of [
    ['pull', DOWNLOAD_BYTES],
    ['read', 2_000],
  ] as const) {
    const attempt = createDownload({route});
    owner.post({kind: 'attemptArrived', attempt});
    answer(owner, attempt.attemptId, bytes);
  }
  owner.advance(200);
  return owner;
}

function setWaiting(owner: MeshFixture, bytes: number, priority = 2): void {
  const group: WaitingBytes = {
    priority,
    nested: false,
    missesAim: false,
    bytes,
  };
  const linkBytes = {received: 0, sent: 0, waiting: [group]};
  owner.post({kind: 'tick', linkBytes});
}

interface Decision {
  readonly reason?: string;
  readonly retryAfterMs?: number;
  readonly reachedUpstream?: boolean;
  readonly load?: LoadReport;
}

/** Delivers an attempt; the decision is empty if it is dispatched. */
function arrive(owner: MeshFixture, attempt = createDownload()): Decision {
  const effects = owner.post({kind: 'attemptArrived', attempt});
  const finished = effects.find(
    (effect): effect is Extract<MeshEffect, {kind: 'finishAttempt'}> =>
      effect.kind === 'finishAttempt',
  );
  if (finished === undefined) {
    return {};
  }
  const {result, reachedUpstream, load} = finished.outcome;
  if (result.kind === 'answer') {
    throw new Error('An attempt that arrives is not answered.');
  }
  const {reason, retryAfterMs} = result;
  return {reason, retryAfterMs, reachedUpstream, load};
}

describe('backlog of a connection', () => {
  // Slots are free, so only the bytes show that the answer would be late.
  it('refuses a download that cannot arrive by its aim, until the backlog has drained', () => {
    const owner = createOwner();
    setWaiting(owner, 1_200_000);
    const {reason, retryAfterMs = 0, reachedUpstream, load} = arrive(owner);
    expect({reason, reachedUpstream}).to.deep.equal({
      reason: 'link_saturated',
      reachedUpstream: false,
    });
    expect(retryAfterMs).to.be.within(100, 130);
    expect(load?.linkDelayMs).to.be.within(720, 740);
    owner.at += retryAfterMs - 10;
    expect(arrive(owner).reason).to.equal('link_saturated');
    owner.at += 11;
    expect(arrive(owner)).to.deep.equal({});
  });

  it('admits small answers, more urgent ones and nested ones that arrive in time', () => {
    const owner = createOwner();
    setWaiting(owner, 1_200_000);
    const small = createDownload({route: 'read'});
    const urgent = createDownload({priority: 1});
    const nested = createDownload({nested: true, aimMs: 2_789});
    const unknown = createDownload({route: 'other'});
    for (const attempt of [small, urgent, nested, unknown]) {
      expect(arrive(owner, attempt), attempt.route).to.deep.equal({});
    }
    const tooLong = createDownload({nested: true, aimMs: 400, timeoutMs: 400});
    setWaiting(owner, 1_200_000, 1);
    expect(arrive(owner, tooLong).reason).to.equal('link_saturated');
  });

  // On a very slow connection, each small answer takes a noticeable time.
  it('admits small answers on any connection', () => {
    const owner = createOwner(1);
    setWaiting(owner, 1_200_000);
    expect(arrive(owner, createDownload({route: 'read'}))).to.deep.equal({});
    expect(arrive(owner).reason).to.equal('link_saturated');
  });

  it('refuses nothing where the bandwidth is ample', () => {
    const owner = createOwner(140);
    setWaiting(owner, 20_000_000);
    expect(arrive(owner)).to.deep.equal({});
  });

  // The answers of one burst would otherwise all be late: none waits on its arrival.
  it('counts the answers of the runs in progress', () => {
    const owner = createOwner();
    const decisions = Array.from({length: 20}, () => arrive(owner));
    const refused = decisions.filter(({reason}) => reason !== undefined);
    const fitting = Math.floor(ROUTE_AIM_MS / 54.7);
    expect(refused).to.have.length(20 - fitting);
    expect(new Set(refused.map(({reason}) => reason))).to.deep.equal(
      new Set(['link_saturated']),
    );
  });

  // Ticks are 40 ms apart, in which several runs end.
  it('counts answers that were sent since the last measurement', () => {
    const owner = createOwner();
    const running = Array.from({length: 12}, () => createDownload());
    running.forEach(attempt => arrive(owner, attempt));
    owner.at += RUN_MS;
    running.forEach(({attemptId}) => {
      owner.at -= RUN_MS;
      answer(owner, attemptId, DOWNLOAD_BYTES);
    });
    expect(arrive(owner).reason).to.equal('link_saturated');
  });

  it('does not refuse calls of its own callers, which no link carries', () => {
    const owner = createOwner();
    const effects = owner.call('c-1');
    const sent = effects.find(
      (effect): effect is Extract<MeshEffect, {kind: 'sendAttempt'}> =>
        effect.kind === 'sendAttempt',
    );
    const attemptId = sent?.attempt.attemptId;
    expect(sent?.to).to.equal(undefined);
    setWaiting(owner, 1_200_000);
    expect(arrive(owner, createDownload({attemptId}))).to.deep.equal({});
  });
});
