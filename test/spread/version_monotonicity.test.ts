/**
 * Versions never decrease and never stop advancing, through starts, restarts,
 * failed witnesses and a stale source.
 */
import {getWitnesses} from '../../src/core/spread/witnesses.js';
import {Submission} from '../../src/model/config.js';
import {createServicePatch} from '../support/core_fixture.js';
import {FleetFixture} from '../support/fleet_fixture.js';
import {
  createTimeoutPatch,
  createIds,
  publishTimeoutChanges,
} from '../support/fleet_patches.js';
import {expect} from '../support/chai_setup.js';

describe('versions in a fleet', () => {
  for (const count of [1, 2, 3, 4]) {
    it(`starts ${count} proxies together and adopts changes`, () => {
      const fleet = new FleetFixture(createIds(count));
      fleet.boot();
      const started = fleet.getVersions();
      publishTimeoutChanges(fleet, 1, 3);
      fleet.run(3_000);
      expect({started, changed: fleet.getVersions()}).toMatchSnapshot();
    });
  }

  for (const [count, killed] of [
    [4, 2],
    [3, 1],
    [2, 1],
    [9, 2],
  ]) {
    it(`restarts ${count} proxies at once, of which ${killed} stay down`, () => {
      const ids = createIds(count);
      const fleet = new FleetFixture(ids);
      fleet.boot();
      publishTimeoutChanges(fleet, 1, 4);
      fleet.run(3_000);
      fleet.kill(...ids);
      const alive = ids.slice(killed);
      fleet.source.setVms(
        Object.fromEntries(alive.map(id => [id, 'live' as const])),
      );
      fleet.start(...alive);
      fleet.run(15_000);
      const restarted = fleet.getVersions();
      publishTimeoutChanges(fleet, 4, 6);
      fleet.run(5_000);
      expect({restarted, changed: fleet.getVersions()}).toMatchSnapshot();
      expect(fleet.isReady(...alive)).to.equal(true);
    });
  }

  it('starts from a long history whose first VMs are gone', () => {
    const ids = createIds(5);
    const fleet = new FleetFixture(ids);
    const gone = Array.from({length: 12}, (_, i) => `old-${i + 20}`);
    fleet.source.publish(createServicePatch(gone), 0);
    // Each change replaces one old VM by a new one.
    for (const [i, id] of ids.entries()) {
      const {upstreams} = createServicePatch([id]);
      const patch = {upstreams: {...upstreams, [gone[i]]: null}};
      fleet.source.publish(patch, i + 1);
    }
    const rest = gone.slice(ids.length).map(id => [id, null]);
    fleet.source.publish({upstreams: Object.fromEntries(rest)}, 6);
    fleet.start(...ids);
    fleet.run(20_000);
    expect(fleet.getVersions()).toMatchSnapshot();
    expect(fleet.isReady(...ids)).to.equal(true);
  });

  it('adopts a change that removes failed witnesses', () => {
    const ids = createIds(4);
    const fleet = new FleetFixture(ids);
    fleet.boot();
    fleet.kill('desk-3', 'desk-4');
    fleet.run(1_000);
    fleet.source.publish(createTimeoutPatch(2_000), 1);
    fleet.run(1_000);
    fleet.source.publish({upstreams: {'desk-3': null, 'desk-4': null}}, 2);
    const ms = fleet.advanceUntil(
      () => fleet.get('desk-1').state.log.active.version === 3,
      9_000,
    );
    expect(ms).not.to.equal(undefined);
    fleet.run(1_000);
    expect(fleet.getVersions()).toMatchSnapshot();
  });

  it('does not go back after a restart with a stale source', () => {
    const ids = createIds(5);
    const fleet = new FleetFixture(ids);
    fleet.boot();
    publishTimeoutChanges(fleet, 1, 5);
    fleet.run(3_000);
    fleet.source.staleAt = 2;
    fleet.kill('desk-2');
    fleet.start('desk-2');
    fleet.run(10_000);
    expect(fleet.getVersions()).toMatchSnapshot();
  });

  it('does not start below a sequence that only witnesses have heard of', () => {
    const ids = createIds(5);
    const fleet = new FleetFixture(ids);
    fleet.boot();
    fleet.run(30_000);
    // Only desk-2 folds the change: it announces it and fails before any other
    // proxy receives it.
    const change = fleet.source.publish(createTimeoutPatch(1_001), 1);
    fleet.source.staleAt = 1;
    fleet.isLinkDown = from => from === 'desk-2';
    const announced = new Set<string>();
    fleet.onRequest = (from, {address, request}) => {
      if (request.kind === 'announce' && request.sequence === 2) {
        announced.add(`${from.id} to ${address}`);
      }
    };
    fleet.reduce(fleet.get('desk-2'), {
      kind: 'sourceAnswered',
      head: 2,
      submissions: [change],
    });
    fleet.run(500);
    fleet.onRequest = () => undefined;
    for (const other of ids) {
      if (other !== 'desk-2') {
        fleet.reduce(fleet.get(other), {
          kind: 'peerAsked',
          requestId: 'announce',
          request: {kind: 'announce', sequence: 2, round: 1},
        });
      }
    }
    fleet.kill('desk-2');
    fleet.isLinkDown = () => false;
    fleet.run(100);
    fleet.start('desk-2');
    fleet.run(10_000);
    const whileStale = fleet.getVersions();
    fleet.source.staleAt = Infinity;
    fleet.run(25_000);
    expect({
      announced: announced.size,
      whileStale,
      afterwards: fleet.getVersions(),
    }).toMatchSnapshot();
  });

  it('asks additional peers if its witnesses have restarted', () => {
    const ids = createIds(13);
    const fleet = new FleetFixture(ids);
    fleet.boot();
    publishTimeoutChanges(fleet, 1, 5);
    fleet.run(30_000);
    fleet.source.staleAt = 2;
    const {log, settings} = fleet.get('desk-1').state;
    const {upstreams} = log.active.config;
    const known = getWitnesses(settings.region, upstreams);
    const [kept, ...lost] = known
      .map(({id}) => id)
      .filter(id => id !== 'desk-1');
    // One witness is unreachable. The others restart together with the proxy
    // and reach only each other and the stale source.
    const group = new Set(['desk-1', ...lost]);
    fleet.isLinkDown = (from, to) =>
      from === kept || to === kept || (group.has(from) && !group.has(to));
    fleet.kill('desk-1', ...lost);
    fleet.start('desk-1', ...lost);
    fleet.run(8_000);
    const whileCut = fleet.isReady('desk-1');
    fleet.isLinkDown = () => false;
    fleet.run(10_000);
    expect({whileCut, afterwards: fleet.getVersions()}).toMatchSnapshot();
  });

  it('does not go back if a witness restarts in between', () => {
    const ids = createIds(13);
    const fleet = new FleetFixture(ids);
    fleet.boot();
    fleet.run(30_000);
    const {log, settings} = fleet.get('desk-1').state;
    const {upstreams} = log.active.config;
    const [a, b, c, d, e] = getWitnesses(settings.region, upstreams).map(
      ({id}) => id,
    );
    const announcer = ids.find(id => ![a, b, c, d, e].includes(id)) ?? '';
    const change = fleet.source.publish(createTimeoutPatch(1_001), 1);
    fleet.source.staleAt = 1;
    // One proxy adopts the change, confirmed by a, b and c, and fails before it
    // passes the change on.
    fleet.isRequestLost = ({kind}) => kind !== 'announce' && kind !== 'join';
    fleet.isLinkDown = (_, to) => to === d || to === e;
    fleet.reduce(fleet.get(announcer), {
      kind: 'sourceAnswered',
      head: 2,
      submissions: [change],
    });
    fleet.run(3_000);
    const held = fleet.get(announcer).state.log.active.version;
    fleet.kill(announcer, b);
    // It and b restart and reach only d and e, which never heard of the change.
    fleet.isRequestLost = () => false;
    fleet.isLinkDown = (from, to) =>
      [a, c].includes(from) || [a, c].includes(to);
    fleet.start(b);
    fleet.run(40_000);
    fleet.start(announcer);
    fleet.run(40_000);
    const whileCut = [fleet.isReady(b), fleet.isReady(announcer)];
    fleet.isLinkDown = () => false;
    fleet.source.staleAt = Infinity;
    fleet.run(10_000);
    const afterwards = [b, announcer].map(id => fleet.getVersions()[id]);
    expect({held, whileCut, afterwards}).to.deep.equal({
      held: 2,
      whileCut: [false, false],
      afterwards: [2, 2],
    });
  });

  it('does not go back to a version that it skipped', () => {
    const ids = createIds(7);
    const fleet = new FleetFixture(ids);
    fleet.boot();
    fleet.run(30_000);
    const [first, second] = [1, 2].map(base =>
      fleet.source.publish(createTimeoutPatch(1_000 + base), base),
    );
    fleet.source.staleAt = 1;
    // One proxy goes from version 1 to 3 while all pushes and gossip are lost;
    // then another goes only to version 2.
    fleet.isRequestLost = ({kind}) => kind === 'gossip' || kind === 'push';
    const answerSource = (id: string, submissions: Submission[]) =>
      fleet.reduce(fleet.get(id), {
        kind: 'sourceAnswered',
        head: 1 + submissions.length,
        submissions,
      });
    answerSource('desk-1', [first, second]);
    fleet.run(3_000);
    const held = fleet.get('desk-1').state.log.active.version;
    fleet.kill('desk-1');
    answerSource('desk-2', [first]);
    fleet.run(3_000);
    const peer = fleet.get('desk-2').state.log.active.version;
    fleet.start('desk-1');
    fleet.run(20_000);
    const whileStale = fleet.isReady('desk-1');
    fleet.isRequestLost = () => false;
    fleet.source.staleAt = Infinity;
    fleet.run(10_000);
    expect({
      held,
      peer,
      whileStale,
      afterwards: fleet.getVersions()['desk-1'],
    }).to.deep.equal({held: 3, peer: 2, whileStale: false, afterwards: 3});
  });
});
