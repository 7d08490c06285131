/**
 * Proxies whose settings and whose configuration give different zones. Such a
 * proxy is in no zone's ranking of watchers; if it relied on one, it would
 * never receive a new version.
 */
import {FleetFixture} from '../support/fleet_fixture.js';
import {createTimeoutPatch, createIds} from '../support/fleet_patches.js';
import {expect} from '../support/chai_setup.js';

describe('zones in settings that differ from the configuration', () => {
  it('do not keep new versions from any proxy', () => {
    const fleet = new FleetFixture(createIds(3), () => ({zone: 'zilina-b'}));
    fleet.boot();
    // The first change completes the watch calls that are pending since the
    // start.
    for (const base of [1, 2, 3]) {
      fleet.source.publish(createTimeoutPatch(2_000 + base), base);
      fleet.run(9_000);
    }
    const versions = fleet.ids.map(
      id => fleet.get(id).state.log.active.version,
    );
    expect(versions).to.deep.equal([4, 4, 4]);
  });
});
