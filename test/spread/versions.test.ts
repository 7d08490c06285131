/** Never backwards, and never stuck: starts, restarts and witnesses. */
import {getWitnesses} from '../../src/core/spread/witnesses.js';
import {createServicePatch} from '../support/core_fixture.js';
import {FleetFixture} from '../support/fleet_fixture.js';
import {
  changeTimeout,
  createIds,
  publishChanges,
} from '../support/fleet_patches.js';
import {expect} from '../support/chai_setup.js';

describe('versions in a fleet', () => {
  for (const count of [1, 2, 3, 4]) {
    it(`starts ${count} proxies together and puts changes in force`, () => {
      const fleet = new FleetFixture(createIds(count));
      fleet.boot();
      const started = fleet.getVersions();
      publishChanges(fleet, 1, 3);
      fleet.run(3_000);
      expect({started, changed: fleet.getVersions()}).toMatchSnapshot();
    });
  }

  for (const [count, dead] of [
    [4, 2],
    [3, 1],
    [2, 1],
    [9, 2],
  ]) {
    it(`restarts ${count} proxies in a herd while ${dead} stay dead`, () => {
      const ids = createIds(count);
      const fleet = new FleetFixture(ids);
      fleet.boot();
      publishChanges(fleet, 1, 4);
      fleet.run(3_000);
      fleet.kill(...ids);
      const alive = ids.slice(dead);
      fleet.source.setVms(
        Object.fromEntries(alive.map(id => [id, 'live' as const])),
      );
      fleet.start(...alive);
      fleet.run(15_000);
      const restarted = fleet.getVersions();
      publishChanges(fleet, 4, 6);
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
    // Each change replaces one old VM by a new one, as days go by.
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

  it('puts a change in force that removes dead witnesses', () => {
    const ids = createIds(4);
    const fleet = new FleetFixture(ids);
    fleet.boot();
    fleet.kill('desk-3', 'desk-4');
    fleet.run(1_000);
    fleet.source.publish(changeTimeout(2_000), 1);
    fleet.run(1_000);
    fleet.source.publish({upstreams: {'desk-3': null, 'desk-4': null}}, 2);
    const ms = fleet.runUntil(
      () => fleet.get('desk-1').state.log.active.version === 3,
      9_000,
    );
    expect(ms).not.to.equal(undefined);
    expect(fleet.getVersions()).toMatchSnapshot();
  });

  it('does not go back after a restart with a stale source', () => {
    const ids = createIds(5);
    const fleet = new FleetFixture(ids);
    fleet.boot();
    publishChanges(fleet, 1, 5);
    fleet.run(3_000);
    fleet.source.staleAt = 2;
    fleet.kill('desk-2');
    fleet.start('desk-2');
    fleet.run(10_000);
    expect(fleet.getVersions()).toMatchSnapshot();
  });

  it('waits for a floor above what every ready peer holds', () => {
    const ids = createIds(5);
    const fleet = new FleetFixture(ids);
    fleet.boot();
    fleet.run(30_000);
    // Only desk-2 folds the change: it announces it and dies before it spreads.
    const change = fleet.source.publish(changeTimeout(1_001), 1);
    fleet.source.staleAt = 1;
    fleet.isCut = from => from === 'desk-2';
    const node = fleet.get('desk-2');
    const effects = fleet.reduce(node, {
      kind: 'sourceAnswered',
      head: 2,
      submissions: [change],
    });
    const announced = effects.filter(
      effect => effect.kind === 'askPeer' && effect.request.kind === 'announce',
    );
    for (const other of ids) {
      if (other !== 'desk-2') {
        fleet.reduce(fleet.get(other), {
          kind: 'peerAsked',
          requestId: 'floor',
          request: {kind: 'announce', id: 'desk-2', sequence: 2},
        });
      }
    }
    fleet.kill('desk-2');
    fleet.isCut = () => false;
    fleet.run(100);
    fleet.start('desk-2');
    fleet.run(10_000);
    const whileStale = fleet.getVersions();
    fleet.source.staleAt = Infinity;
    fleet.run(25_000);
    expect({
      announced: announced.length,
      whileStale,
      afterwards: fleet.getVersions(),
    }).toMatchSnapshot();
  });

  it('asks more peers where its witnesses have lost their memory', () => {
    const ids = createIds(13);
    const fleet = new FleetFixture(ids);
    fleet.boot();
    publishChanges(fleet, 1, 5);
    fleet.run(30_000);
    fleet.source.staleAt = 2;
    const {log, settings} = fleet.get('desk-1').state;
    const known = getWitnesses('desk-1', settings.region, log.active.config);
    const [kept, ...lost] = known.map(({id}) => id);
    // One witness is cut off, the others restart together with the proxy and
    // hear only each other and the stale source.
    const group = new Set(['desk-1', ...lost]);
    fleet.isCut = (from, to) =>
      from === kept || to === kept || (group.has(from) && !group.has(to));
    fleet.kill('desk-1', ...lost);
    fleet.start('desk-1', ...lost);
    fleet.run(8_000);
    const whileCut = fleet.isReady('desk-1');
    fleet.isCut = () => false;
    fleet.run(10_000);
    expect({whileCut, afterwards: fleet.getVersions()}).toMatchSnapshot();
  });
});
