/** Watchers, push, gossip and pull under the failures that they must handle. */
import {Effect} from '../../src/core/types.js';
import {PeerReply} from '../../src/model/peer.js';
import {
  CoreFixture,
  createServicePatch,
  createSubmission,
  getPeerAddress,
} from '../support/core_fixture.js';
import {FleetFixture} from '../support/fleet_fixture.js';
import {
  bootZonedFleet,
  createTimeoutPatch,
  publishTimeoutChanges,
} from '../support/fleet_patches.js';
import {expect} from '../support/chai_setup.js';

/** Gossip interval so long that no gossip takes place during a test. */
const NO_GOSSIP_MS = 86_400_000;

/** Time within which a change must be in force everywhere. */
const MAX_CONVERGENCE_MS = 9_000;

function publishAndWait(fleet: FleetFixture, base: number) {
  fleet.source.publish(createTimeoutPatch(1_000 + base), base);
  return fleet.advanceUntil(
    () => fleet.allHaveVersion(base + 1),
    MAX_CONVERGENCE_MS,
  );
}

function tryRead(fleet: FleetFixture, id: string): string[] {
  const effects = fleet.reduce(fleet.get(id), {
    kind: 'callArrived',
    callId: `read-${fleet.at}`,
    call: {
      method: 'GET',
      host: 'desk',
      path: '/plan',
      fingerprint: 'f',
      retriedByOuter: false,
    },
  });
  return effects
    .map(({kind}) => kind)
    .filter(kind => kind === 'sendAttempt' || kind === 'answerCall');
}

function findPeerRequest(effects: readonly Effect[], kind: string) {
  return effects.find(
    effect => effect.kind === 'askPeer' && effect.request.kind === kind,
  );
}

describe('dissemination', () => {
  it('replaces watchers that fail or leave while no change is published', () => {
    // With this many, random gossip alone would rarely detect the failures in
    // time.
    const fleet = bootZonedFleet(40, 1, {watchersPerZone: 2});
    fleet.run(40_000);
    const first = fleet.getWatchers();
    fleet.kill(...first);
    fleet.run(10_000);
    const second = fleet.getWatchers();
    fleet.reduce(fleet.get(second[0]), {kind: 'drainRequested'});
    fleet.source.publish(createTimeoutPatch(2_000), 1);
    fleet.run(10_000);
    expect({
      first,
      second,
      third: fleet.getWatchers(),
      inForce: fleet.allHaveVersion(2),
    }).toMatchSnapshot();
  });

  it('reroutes pushes around failed proxies inside the tree', () => {
    const fleet = bootZonedFleet(9, 1, {
      watchersPerZone: 1,
      fanOut: 2,
      gossipIntervalMs: NO_GOSSIP_MS,
    });
    // By then the watch calls that each proxy made at its start have ended.
    fleet.run(30_000);
    const [watcher] = fleet.getWatchers();
    const others = fleet.ids.filter(id => id !== watcher);
    const outcomes = [];
    // Every proxy but the watcher is down during one of the changes.
    for (const [i, killed] of others.entries()) {
      fleet.kill(killed, others[(i + 1) % others.length]);
      outcomes.push(publishAndWait(fleet, i + 1) !== undefined);
      fleet.start(killed, others[(i + 1) % others.length]);
      fleet.advanceUntil(() => fleet.isReady(...fleet.ids));
    }
    expect(outcomes).to.deep.equal(others.map(() => true));
  });

  it('retries a lost push once', () => {
    const fleet = bootZonedFleet(9, 1, {gossipIntervalMs: NO_GOSSIP_MS});
    fleet.run(30_000);
    fleet.isRequestLost = request =>
      request.kind === 'push' && request.isRetry !== true;
    expect(publishAndWait(fleet, 1)).to.be.at.most(MAX_CONVERGENCE_MS);
  });

  it('delivers by gossip a change whose pushes are all lost', () => {
    const fleet = bootZonedFleet(9, 3);
    fleet.isRequestLost = ({kind}) => kind === 'push';
    const ms = publishAndWait(fleet, 1);
    expect(ms).to.be.at.most(MAX_CONVERGENCE_MS);
  });

  it('delivers in time while one message in three is lost', () => {
    const fleet = bootZonedFleet(9, 3);
    let sent = 0;
    fleet.isRequestLost = () => (sent += 1) % 3 === 0;
    const times = [1, 2, 3, 4, 5].map(base => publishAndWait(fleet, base));
    expect(times.every(ms => ms !== undefined)).to.equal(true);
  });

  it('pulls from another peer if a pull is refused or not answered', () => {
    const core = new CoreFixture('desk-1');
    core.adopt(createServicePatch(['desk-1', 'desk-2', 'desk-3']));
    const gossip = (id: string): PeerReply => ({
      kind: 'gossip',
      from: {
        id,
        peerAddress: getPeerAddress(id),
        incarnation: 1,
        heartbeat: core.at,
        sequence: 9,
        version: 9,
        digest: '0',
        leaving: false,
        ready: true,
      },
      members: [],
      suspects: [],
    });
    const receiveGossip = (id: string) => {
      core.at += 1;
      const request = {kind: 'pull', afterSequence: 0} as const;
      const address = getPeerAddress(id);
      const reply = gossip(id);
      const effects = core.reduce({
        kind: 'peerReplied',
        address,
        request,
        reply,
      });
      const ask = findPeerRequest(effects, 'pull');
      return ask?.kind === 'askPeer' ? ask : undefined;
    };
    const first = receiveGossip('desk-2');
    const whileWaiting = receiveGossip('desk-3');
    core.reduce({
      kind: 'peerReplied',
      address: getPeerAddress('desk-2'),
      request: {kind: 'pull', afterSequence: 1},
      reply: {kind: 'refused', code: 'not_ready', detail: 'starting'},
    });
    const afterRefusal = receiveGossip('desk-3');
    core.at += 3_000;
    const afterSilence = receiveGossip('desk-2');
    expect({
      first,
      whileWaiting,
      afterRefusal,
      afterSilence,
      unreachable: [...core.state.membership.failedAt.keys()],
    }).toMatchSnapshot();
  });

  it('limits calls of a source that answers at once without updates', () => {
    const core = new CoreFixture('desk-1');
    core.adopt(createServicePatch(['desk-1']));
    let calls = 0;
    // The core has a call under way already.
    let answer = true;
    for (let i = 0; i < 2_400; i += 1) {
      core.at += 25;
      const effects: Effect[] = answer
        ? core.reduce({
            kind: 'sourceAnswered',
            head: 9,
            submissions: [createSubmission(9, 1, createTimeoutPatch(1_000))],
          })
        : core.reduce({kind: 'tick'});
      answer = effects.some(({kind}) => kind === 'watchSource');
      calls += Number(answer);
    }
    expect(calls).to.be.below(30);
  });

  it('serves reads during a long outage of the source and resumes calls gradually', () => {
    const fleet = bootZonedFleet(9, 3, {watchersPerZone: 2});
    fleet.run(30_000);
    fleet.source.down = true;
    fleet.source.calls = 0;
    fleet.run(10 * 60_000);
    const callsDown = fleet.source.calls;
    const reads = fleet.ids.map(id => tryRead(fleet, id).join());
    fleet.source.publish(createTimeoutPatch(2_000), 1);
    fleet.source.down = false;
    fleet.source.calls = 0;
    const ms = fleet.advanceUntil(() => fleet.allHaveVersion(2), 20_000);
    // Full jitter below 10 s makes 12 calls a minute of each of 6 watchers.
    expect(callsDown).to.be.within(600, 900);
    expect(fleet.source.calls).to.be.at.most(6);
    // The longest delay of a watcher, and then a push.
    expect(ms).to.be.below(11_000);
    expect({reads}).toMatchSnapshot();
  });

  it('distributes the retries of all watchers of a zone over time', () => {
    const fleet = bootZonedFleet(9, 1, {watchersPerZone: 9});
    fleet.source.down = true;
    fleet.run(60_000);
    const calls: number[] = [];
    for (let second = 0; second < 20; second += 1) {
      fleet.source.calls = 0;
      fleet.run(1_000);
      calls.push(fleet.source.calls);
    }
    // Without jitter all nine calls would fall into the same second.
    expect(Math.max(...calls)).to.be.below(9);
  });

  it('serves calls in a partition and catches up when it heals', () => {
    const fleet = bootZonedFleet(9, 3);
    const isIsolated = (id: string) => Number(id.split('-')[1]) % 3 === 0;
    fleet.isLinkDown = (from, to) => isIsolated(from) !== isIsolated(to);
    fleet.isSourceUnreachable = isIsolated;
    publishTimeoutChanges(fleet, 1, 4);
    fleet.run(60_000);
    const apart = fleet.getVersions();
    const reads = fleet.ids
      .filter(isIsolated)
      .map(id => tryRead(fleet, id).join());
    fleet.isLinkDown = () => false;
    const ms = fleet.advanceUntil(
      () => fleet.allHaveVersion(4),
      MAX_CONVERGENCE_MS,
    );
    expect({apart, reads, healed: ms !== undefined}).toMatchSnapshot();
  });

  it('adopts in both regions while they are cut from each other', () => {
    const regionOf = (zone: string) => (zone === 'zone-0' ? 'east' : 'west');
    const fleet = bootZonedFleet(12, 3, {}, regionOf);
    const region = (id: string) =>
      Number(id.split('-')[1]) % 3 === 0 ? 'east' : 'west';
    fleet.isLinkDown = (from, to) => region(from) !== region(to);
    const ms = publishAndWait(fleet, 1);
    expect(ms).to.be.below(1_000);
    expect(fleet.getVersions()).toMatchSnapshot();
  });

  it('starts a whole fleet at once with a bounded number of source calls', () => {
    const fleet = bootZonedFleet(9, 3, {watchersPerZone: 1});
    publishTimeoutChanges(fleet, 1, 20);
    fleet.run(30_000);
    fleet.kill(...fleet.ids);
    fleet.source.calls = 0;
    fleet.start(...fleet.ids);
    const ms = fleet.advanceUntil(() => fleet.isReady(...fleet.ids));
    expect(ms).to.be.below(2_000);
    expect(fleet.source.calls).to.be.at.most(2 * fleet.ids.length);
  });
});
