/** Watchers, push, gossip and pull under the failures that they are for. */
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
  changeTimeout,
  publishChanges,
} from '../support/fleet_patches.js';
import {expect} from '../support/chai_setup.js';

/** So rare that nothing is repaired by gossip during a test. */
const NO_GOSSIP_MS = 86_400_000;

/** Time within which a change must be in force everywhere. */
const IN_FORCE_MS = 9_000;

function publishAndWait(fleet: FleetFixture, base: number) {
  fleet.source.publish(changeTimeout(1_000 + base), base);
  return fleet.runUntil(() => fleet.isInForce(base + 1), IN_FORCE_MS);
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

function findAsk(effects: readonly Effect[], kind: string) {
  return effects.find(
    effect => effect.kind === 'askPeer' && effect.request.kind === kind,
  );
}

describe('spreading', () => {
  it('replaces watchers that die or leave, without a change to spread', () => {
    // So many that random gossip alone would rarely meet the dead in time.
    const fleet = bootZonedFleet(40, 1, {watchersPerZone: 2});
    fleet.run(40_000);
    const first = fleet.getWatchers();
    fleet.kill(...first);
    fleet.run(10_000);
    const second = fleet.getWatchers();
    fleet.reduce(fleet.get(second[0]), {kind: 'drainRequested'});
    fleet.source.publish(changeTimeout(2_000), 1);
    fleet.run(10_000);
    expect({
      first,
      second,
      third: fleet.getWatchers(),
      inForce: fleet.isInForce(2),
    }).toMatchSnapshot();
  });

  it('pushes around dead proxies inside the tree', () => {
    const fleet = bootZonedFleet(9, 1, {
      watchersPerZone: 1,
      fanOut: 2,
      gossipIntervalMs: NO_GOSSIP_MS,
    });
    // The watches that each proxy began at its start have ended by then.
    fleet.run(30_000);
    const [watcher] = fleet.getWatchers();
    const others = fleet.ids.filter(id => id !== watcher);
    const outcomes = [];
    // Every proxy but the watcher is dead at one of the changes.
    for (const [i, dead] of others.entries()) {
      fleet.kill(dead, others[(i + 1) % others.length]);
      outcomes.push(publishAndWait(fleet, i + 1) !== undefined);
      fleet.start(dead, others[(i + 1) % others.length]);
      fleet.runUntil(() => fleet.isReady(...fleet.ids));
    }
    expect(outcomes).to.deep.equal(others.map(() => true));
  });

  it('tries a lost push once more', () => {
    const fleet = bootZonedFleet(9, 1, {gossipIntervalMs: NO_GOSSIP_MS});
    fleet.run(30_000);
    fleet.isLost = request =>
      request.kind === 'push' && request.isRetry !== true;
    expect(publishAndWait(fleet, 1)).to.be.at.most(IN_FORCE_MS);
  });

  it('repairs by gossip what no push delivered', () => {
    const fleet = bootZonedFleet(9, 3);
    fleet.isLost = ({kind}) => kind === 'push';
    const ms = publishAndWait(fleet, 1);
    expect(ms).to.be.at.most(IN_FORCE_MS);
  });

  it('delivers in time while one message in three is lost', () => {
    const fleet = bootZonedFleet(9, 3);
    let sent = 0;
    fleet.isLost = () => (sent += 1) % 3 === 0;
    const times = [1, 2, 3, 4, 5].map(base => publishAndWait(fleet, base));
    expect(times.every(ms => ms !== undefined)).to.equal(true);
  });

  it('turns to another peer where a pull is refused or not answered', () => {
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
    const hear = (id: string) => {
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
      const ask = findAsk(effects, 'pull');
      return ask?.kind === 'askPeer' ? ask : undefined;
    };
    const first = hear('desk-2');
    const whileWaiting = hear('desk-3');
    core.reduce({
      kind: 'peerReplied',
      address: getPeerAddress('desk-2'),
      request: {kind: 'pull', afterSequence: 1},
      reply: {kind: 'refused', code: 'not_ready', detail: 'starting'},
    });
    const afterRefusal = hear('desk-3');
    core.at += 3_000;
    const afterSilence = hear('desk-2');
    expect({
      first,
      whileWaiting,
      afterRefusal,
      afterSilence,
      unreachable: [...core.state.membership.failedAt.keys()],
    }).toMatchSnapshot();
  });

  it('does not hammer a source that answers at once with nothing new', () => {
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
            submissions: [createSubmission(9, 1, changeTimeout(1_000))],
          })
        : core.reduce({kind: 'tick'});
      answer = effects.some(({kind}) => kind === 'watchSource');
      calls += Number(answer);
    }
    expect(calls).to.be.below(30);
  });

  it('serves reads through a long outage of the source, and returns softly', () => {
    const fleet = bootZonedFleet(9, 3, {watchersPerZone: 2});
    fleet.run(30_000);
    fleet.source.down = true;
    fleet.source.calls = 0;
    fleet.run(10 * 60_000);
    const callsDown = fleet.source.calls;
    const reads = fleet.ids.map(id => tryRead(fleet, id).join());
    fleet.source.publish(changeTimeout(2_000), 1);
    fleet.source.down = false;
    fleet.source.calls = 0;
    const ms = fleet.runUntil(() => fleet.isInForce(2), 20_000);
    // Full jitter below 10 s makes 12 calls a minute of each of 6 watchers.
    expect(callsDown).to.be.within(600, 900);
    expect(fleet.source.calls).to.be.at.most(6);
    // The longest delay of a watcher, and then a push.
    expect(ms).to.be.below(11_000);
    expect({reads}).toMatchSnapshot();
  });

  it('spreads the retries of a whole zone of watchers', () => {
    const fleet = bootZonedFleet(9, 1, {watchersPerZone: 9});
    fleet.source.down = true;
    fleet.run(60_000);
    const calls: number[] = [];
    for (let second = 0; second < 20; second += 1) {
      fleet.source.calls = 0;
      fleet.run(1_000);
      calls.push(fleet.source.calls);
    }
    // Without jitter all nine would come in one second of ten.
    expect(Math.max(...calls)).to.be.below(9);
  });

  it('keeps a partition serving and brings it up to date when it heals', () => {
    const fleet = bootZonedFleet(9, 3);
    const inside = (id: string) => Number(id.split('-')[1]) % 3 === 0;
    fleet.isCut = (from, to) => inside(from) !== inside(to);
    fleet.isSourceCut = inside;
    publishChanges(fleet, 1, 4);
    fleet.run(60_000);
    const apart = fleet.getVersions();
    const reads = fleet.ids.filter(inside).map(id => tryRead(fleet, id).join());
    fleet.isCut = () => false;
    const ms = fleet.runUntil(() => fleet.isInForce(4), IN_FORCE_MS);
    expect({apart, reads, healed: ms !== undefined}).toMatchSnapshot();
  });

  it('adopts in both regions while they are cut from each other', () => {
    const regionOf = (zone: string) => (zone === 'zone-0' ? 'east' : 'west');
    const fleet = bootZonedFleet(12, 3, {}, regionOf);
    const region = (id: string) =>
      Number(id.split('-')[1]) % 3 === 0 ? 'east' : 'west';
    fleet.isCut = (from, to) => region(from) !== region(to);
    const ms = publishAndWait(fleet, 1);
    expect(ms).to.be.below(1_000);
    expect(fleet.getVersions()).toMatchSnapshot();
  });

  it('starts a herd with a bounded number of source calls', () => {
    const fleet = bootZonedFleet(9, 3, {watchersPerZone: 1});
    publishChanges(fleet, 1, 20);
    fleet.run(30_000);
    fleet.kill(...fleet.ids);
    fleet.source.calls = 0;
    fleet.start(...fleet.ids);
    const ms = fleet.runUntil(() => fleet.isReady(...fleet.ids));
    expect(ms).to.be.below(2_000);
    expect(fleet.source.calls).to.be.at.most(2 * fleet.ids.length);
  });
});
