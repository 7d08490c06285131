/**
 * Proxies whose digests differ, as with a faulty build, and submissions or
 * states that must not be applied.
 */
import {isHalted} from '../../src/core/config/digests.js';
import {FoldState} from '../../src/model/fold_state.js';
import {PeerReply} from '../../src/model/peer.js';
import {
  CoreFixture,
  createServicePatch,
  createSubmission,
  getPeerAddress,
} from '../support/core_fixture.js';
import {FleetFixture} from '../support/fleet_fixture.js';
import {
  createTimeoutPatch,
  createIds,
  publishTimeoutChanges,
} from '../support/fleet_patches.js';
import {expect} from '../support/chai_setup.js';

/** Makes the digests of proxies differ from now on, as a faulty build would. */
function corruptDigests(fleet: FleetFixture, ...ids: string[]): void {
  for (const id of ids) {
    const {log} = fleet.get(id).state;
    log.latest = {...log.latest, digest: `bad ${log.latest.digest}`};
    log.active = log.latest;
    log.digests.set(log.latest.sequence, log.latest.digest);
    // Peers then pull the whole state, whose digest they cannot verify.
    log.recentSubmissions.length = 0;
  }
  for (const {state} of fleet.nodes.values()) {
    state.log.peerAgreement.clear();
  }
}

function getHalted(fleet: FleetFixture): string[] {
  return fleet.ids.filter(id => isHalted(fleet.get(id).state.log));
}

/** The reply of a ready peer of the same region. */
function pullReply(
  reply: Pick<
    Extract<PeerReply, {kind: 'pull'}>,
    'catchUp' | 'from' | 'digest'
  >,
) {
  const inForce = {region: 'centre', sequence: 9};
  return {
    kind: 'peerReplied',
    address: getPeerAddress('desk-2'),
    request: {kind: 'pull', afterSequence: 1},
    reply: {kind: 'pull', ...inForce, ...reply},
  } as const;
}

describe('digests', () => {
  it('halt the one faulty proxy of a fleet and no other', () => {
    const fleet = new FleetFixture(createIds(5));
    fleet.boot();
    fleet.run(10_000);
    corruptDigests(fleet, 'desk-4');
    const haltedSeen = new Set<string>();
    for (let i = 0; i < 400; i += 1) {
      fleet.run(25);
      getHalted(fleet).forEach(id => haltedSeen.add(id));
    }
    publishTimeoutChanges(fleet, 1, 4);
    fleet.run(10_000);
    expect({
      haltedSeen: [...haltedSeen],
      haltedNow: getHalted(fleet),
      versions: fleet.getVersions(),
    }).toMatchSnapshot();
  });

  it('halt a faulty proxy that is behind all its peers', () => {
    const fleet = new FleetFixture(createIds(5));
    fleet.boot();
    fleet.run(10_000);
    corruptDigests(fleet, 'desk-4');
    publishTimeoutChanges(fleet, 1, 4);
    fleet.isLinkDown = (from, to) => from === 'desk-4' || to === 'desk-4';
    fleet.isSourceUnreachable = id => id === 'desk-4';
    fleet.run(5_000);
    fleet.isLinkDown = () => false;
    fleet.run(10_000);
    expect({
      haltedNow: getHalted(fleet),
      versions: fleet.getVersions(),
    }).toMatchSnapshot();
  });

  it('let a proxy resume that was halted by two faulty peers', () => {
    const fleet = new FleetFixture(createIds(9));
    fleet.boot();
    fleet.run(10_000);
    corruptDigests(fleet, 'desk-4', 'desk-5');
    const {log} = fleet.get('desk-1').state;
    log.peerAgreement.clear();
    log.peerAgreement.set('desk-4', false).set('desk-5', false);
    const haltedFirst = getHalted(fleet);
    publishTimeoutChanges(fleet, 1, 4);
    fleet.run(10_000);
    expect({
      haltedFirst,
      haltedNow: getHalted(fleet),
      versions: fleet.getVersions(),
    }).toMatchSnapshot();
  });

  it('make a starting proxy discard a state that most peers contradict', () => {
    const ids = createIds(6);
    const fleet = new FleetFixture(ids, () => ({
      seeds: [getPeerAddress('desk-4')],
    }));
    fleet.boot();
    publishTimeoutChanges(fleet, 1, 4);
    fleet.run(10_000);
    corruptDigests(fleet, 'desk-4');
    fleet.kill('desk-1');
    fleet.start('desk-1');
    fleet.run(20_000);
    const goodDigest = fleet.get('desk-2').state.log.active.digest;
    expect(fleet.isReady('desk-1')).to.equal(true);
    expect(fleet.get('desk-1').state.log.active.digest).to.equal(goodDigest);
  });
});

describe('updates', () => {
  it('that are old, duplicated, out of order or beyond a gap are folded in order', () => {
    const core = new CoreFixture('desk-1');
    core.adopt(createServicePatch(['desk-1']));
    const {log} = core.state;
    const submissions = [2, 3, 4, 5].map(sequence =>
      createSubmission(sequence, sequence - 1, createTimeoutPatch(sequence)),
    );
    const [second, third, fourth, fifth] = submissions;
    const push = (...pushed: typeof submissions) => {
      const request = {kind: 'push', submissions: pushed} as const;
      core.reduce({kind: 'peerAsked', requestId: 'p', request});
      return [log.latest.sequence, log.active.version];
    };
    const steps = {
      beyondGap: push(fourth),
      duplicateBeyondGap: push(fourth, fourth),
      outOfOrder: push(third, second),
      duplicates: push(second, third, fourth),
      next: push(fifth),
      stale: core.reduce({kind: 'sourceAnswered', head: 2, submissions: []}),
      after: [log.latest.sequence, log.active.version],
    };
    expect(steps).toMatchSnapshot();
  });

  it('by a whole state are refused if a route has no upstream', () => {
    const core = new CoreFixture('desk-1');
    core.adopt(createServicePatch(['desk-1']));
    const {log} = core.state;
    const good: FoldState = {...log.latest, sequence: 9, version: 9};
    const bad: FoldState = {...good, config: {...good.config, upstreams: {}}};
    core.reduce(pullReply({catchUp: {kind: 'state', state: bad}}));
    const afterBad = log.latest.sequence;
    core.reduce(pullReply({catchUp: {kind: 'state', state: good}}));
    const afterGood = log.latest.sequence;
    core.reduce(
      pullReply({catchUp: {kind: 'state', state: {...good, sequence: 5}}}),
    );
    expect({
      afterBad,
      afterGood,
      afterOlder: log.latest.sequence,
    }).toMatchSnapshot();
  });

  it('are limited in size for a proxy that is far behind', () => {
    const core = new CoreFixture('desk-1');
    core.adopt(createServicePatch(['desk-1']));
    const padding = 'x'.repeat(200_000);
    for (let sequence = 2; sequence <= 9; sequence += 1) {
      const patch = {...createTimeoutPatch(sequence), padding};
      const submissions = [createSubmission(sequence, 1, patch)];
      core.reduce({kind: 'sourceAnswered', head: sequence, submissions});
    }
    const effects = core.reduce({
      kind: 'peerAsked',
      requestId: 'p',
      request: {kind: 'pull', afterSequence: 1},
    });
    const [reply] = effects.flatMap(effect =>
      effect.kind === 'replyPeer' ? [effect.reply] : [],
    );
    const catchUp = reply?.kind === 'pull' ? reply.catchUp : undefined;
    expect(
      catchUp?.kind === 'submissions' &&
        catchUp.submissions.map(({sequence}) => sequence),
    ).toMatchSnapshot();
  });
});
