/**
 * Soak test of proxy cores under random faults. A few seeds run by default, and those
 * that ever failed; `SOAK_SEEDS=1-50` selects a range. The title of a failed test names
 * its seed, which reproduces the failure.
 */
import {expect} from '../../support/chai_setup.js';
import {
  DEPARTURES,
  EVACUATIONS,
  OVERLAPPING_STOPS,
  RELAYED_UPDATES,
  STOPS_IN_TURN,
  runSoak,
} from './run_soak.js';
import {getSeeds} from './seeds.js';

/** 35: a restart replaced a running process of the simulation, and its calls. */
const DEFAULT_SEEDS = '1-6,35';

describe('mesh soak', () => {
  for (const seed of getSeeds(process.env.SOAK_SEEDS ?? DEFAULT_SEEDS)) {
    it(`violates no invariant with seed ${seed}`, () => {
      const {violations, faults, answered} = runSoak(seed);
      expect(violations, `after ${faults.join('; ')}`).to.deep.equal([]);
      expect(answered).to.be.above(500);
    });

    it(`keeps versions in force with relays and seed ${seed}`, () => {
      const {violations, faults, answered} = runSoak(seed, RELAYED_UPDATES);
      expect(violations, `after ${faults.join('; ')}`).to.deep.equal([]);
      expect(answered).to.be.above(100);
    });

    it(`sends nothing to evacuated zones with seed ${seed}`, () => {
      const {violations, faults, answered} = runSoak(seed, EVACUATIONS);
      expect(violations, `after ${faults.join('; ')}`).to.deep.equal([]);
      expect(answered).to.be.above(100);
    });

    it(`starts nothing whose caller has left with seed ${seed}`, () => {
      const {violations, faults, answered, left} = runSoak(seed, DEPARTURES);
      expect(violations, `after ${faults.join('; ')}`).to.deep.equal([]);
      expect(answered).to.be.above(500);
      expect(left).to.be.above(500);
    });

    it(`cuts nothing by stops in turn with seed ${seed}`, () => {
      const {violations, faults, answered} = runSoak(seed, STOPS_IN_TURN);
      expect(violations, `after ${faults.join('; ')}`).to.deep.equal([]);
      expect(answered).to.be.above(100);
    });

    it(`cuts no long run by stops that overlap with seed ${seed}`, () => {
      const {violations, faults, answered} = runSoak(seed, OVERLAPPING_STOPS);
      expect(violations, `after ${faults.join('; ')}`).to.deep.equal([]);
      expect(answered).to.be.above(500);
    });
  }
});
