/** Settings and configuration that name different zones for a proxy. */
import {FleetFixture} from '../support/fleet_fixture.js';
import {changeTimeout, createIds} from '../support/fleet_patches.js';
import {expect} from '../support/chai_setup.js';

describe('zones that disagree', () => {
  it('still bring new versions to every proxy', () => {
    const fleet = new FleetFixture(createIds(3), () => ({zone: 'zilina-b'}));
    fleet.boot();
    // The first change ends the watches that the start has left waiting.
    for (const base of [1, 2, 3]) {
      fleet.source.publish(changeTimeout(2_000 + base), base);
      fleet.run(9_000);
    }
    const versions = fleet.ids.map(
      id => fleet.get(id).state.log.active.version,
    );
    expect(versions).to.deep.equal([4, 4, 4]);
  });
});
