/** Starts of proxies whose witnesses have all lost their memory. */
import {FleetFixture} from '../support/fleet_fixture.js';
import {changeTimeout, createIds} from '../support/fleet_patches.js';
import {expect} from '../support/chai_setup.js';

describe('cold starts', () => {
  it('ask the source before they believe a peer that may lag', () => {
    const fleet = new FleetFixture(createIds(3));
    fleet.boot();
    fleet.source.publish({upstreams: {'desk-1': null}}, 1);
    fleet.run(5_000);
    // The removed proxy runs on, cut off, and misses the next version.
    fleet.isCut = (from, to) => [from, to].includes('desk-1');
    fleet.isSourceCut = id => id === 'desk-1';
    fleet.source.publish(changeTimeout(2_000), 2);
    fleet.run(5_000);
    fleet.kill('desk-2', 'desk-3');
    fleet.isCut = () => false;
    fleet.start('desk-2', 'desk-3');
    const served = new Set<number>();
    fleet.runUntil(() => {
      for (const id of ['desk-2', 'desk-3']) {
        const {startup, log} = fleet.get(id).state;
        if (startup.ready) {
          served.add(log.active.version);
        }
      }
      return false;
    }, 9_000);
    expect([...served]).to.deep.equal([3]);
  });
});
