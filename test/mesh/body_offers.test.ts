/** Attempts whose bodies entries offer to an owner behind a narrow connection. */
import {MeshAttempt} from '../../src/model/mesh.js';
import {expect} from '../support/chai_setup.js';
import {MeshFixture, createAttempt, createInstance} from './mesh_fixture.js';

const LINK_MBPS = 5;
const AIM_MS = 900;
const TIMEOUT_MS = 3_000;

/** Time that an upload takes on the connection. */
const OWN_MS = 100;

function createOwner(slots = 4): MeshFixture {
  const owner = new MeshFixture({linkMbps: LINK_MBPS});
  owner.loadFromSource([createInstance(1, {slots})]);
  owner.drainEffects();
  return owner;
}

function createUpload(overrides: Partial<MeshAttempt> = {}): MeshAttempt {
  return createAttempt({
    aimMs: AIM_MS,
    timeoutMs: TIMEOUT_MS,
    routeAimMs: AIM_MS,
    ...overrides,
  });
}

/** Offers an upload; returns the effects, none of which is a refusal if it is accepted. */
function offer(
  owner: MeshFixture,
  aheadMs: number,
  overrides: Partial<MeshAttempt> = {},
): string[] {
  const attempt = createUpload(overrides);
  owner.drainEffects();
  owner.post({
    kind: 'attemptOffered',
    attempt,
    ageMs: 0,
    aheadMs,
    ownMs: OWN_MS,
  });
  return owner.drainEffects();
}

describe('an offered body', () => {
  it('is accepted where its answer can be in time, and starts nothing', () => {
    const owner = createOwner();
    expect(offer(owner, 0)).to.deep.equal([]);
    expect(offer(owner, 400)).to.deep.equal([]);
    expect(owner.state.work.queue).to.deep.equal([]);
    expect(owner.state.work.running.size).to.equal(0);
  });

  it('is refused where the bodies ahead make its answer late', () => {
    expect(offer(createOwner(), 600)).to.deep.equal([
      'finishAttempt a-1 link_saturated reached=false',
    ]);
  });

  it('is accepted late where its caller has returned, until its deadline', () => {
    const returned = {aimMs: 100};
    expect(offer(createOwner(), 600, returned)).to.deep.equal([]);
    expect(offer(createOwner(), 2_700, returned)).to.deep.equal([
      'finishAttempt a-1 link_saturated reached=false',
    ]);
  });

  it('is refused where it would find no slot in time', () => {
    const owner = createOwner(1);
    for (let n = 0; n < 5; n += 1) {
      const attempt = createUpload({attemptId: `b-${n}`});
      owner.post({kind: 'attemptArrived', attempt});
    }
    expect(offer(owner, 0)).to.deep.equal([
      'finishAttempt a-1 queue_full reached=false',
    ]);
  });

  it('is refused while the upstream takes no work', () => {
    const owner = createOwner();
    const attempt = {instanceId: 'i-9'};
    expect(offer(owner, 0, attempt)).to.deep.equal([
      'finishAttempt a-1 wrong_home reached=false',
    ]);
  });

  it('is reported to entries while others are to arrive', () => {
    const owner = createOwner();
    const linkBytes = {received: 0, sent: 0, arrivingMs: 250};
    owner.post({kind: 'tick', linkBytes});
    const attempt = createUpload({instanceId: 'i-9'});
    const [effect] = owner
      .post({kind: 'attemptArrived', attempt})
      .filter(({kind}) => kind === 'finishAttempt');
    expect(effect).to.have.nested.property('outcome.load.requestDelayMs', 250);
  });
});
