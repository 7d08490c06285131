/** Real proxies on a store that changes between two pages of a list. */
import {expect} from '../support/chai_setup.js';
import {FleetStandin, waitForFleet} from './fleet_standin.js';
import {ProcessMachine} from './process_machine.js';

describe('a list that changes while it is read', () => {
  let fleet: FleetStandin<ProcessMachine>;

  before(async () => {
    fleet = new FleetStandin((...args) => new ProcessMachine(...args));
    await fleet.start(4);
  });

  after(() => fleet.stop());

  // Guards against proxies that keep an older entry although their revision is the latest.
  it('brings the change to all proxies after one restarts', async () => {
    const {store} = fleet;
    const [first] = fleet.machines;
    await first.kill();
    let isChanged = false;
    store.onPage = () => {
      if (!isChanged && store.listings.at(-1) === 'may be stale') {
        isChanged = true;
        fleet.register(4, {state: 'draining', seq: 2});
      }
    };
    await first.start();
    await waitForFleet(() => first.isReady());
    expect(isChanged).to.equal(true);
    for (const machine of fleet.machines) {
      await waitForFleet(async () => {
        const {instances} = await fleet.readStatus(machine);
        return instances.some(
          ({id, state}) => id === 'i-4' && state === 'draining',
        );
      });
    }
  });
});
