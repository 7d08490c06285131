/** Planned stops under load. */
import {Fleet} from '../../src/standins/harness/fleet.js';
import {countResults} from '../../src/standins/harness/load.js';
import {expect} from '../support/chai_setup.js';
import {
  auditFleet,
  CLEAN_AUDIT,
  createCharge,
  createRead,
  startFleet,
  startLoad,
  untilMore,
} from './fleet_support.js';

const WORK = {'x-work-ms': '20'};

describe('planned stops', () => {
  let fleet: Fleet;

  beforeEach(async () => {
    fleet = await startFleet();
  });

  afterEach(() => fleet.stop());

  it('cut nothing, whether asked for by request or by SIGTERM', async () => {
    const [first, second] = fleet.nodes;
    const load = startLoad(fleet.nodes, n =>
      n % 2 === 0
        ? createCharge(`stop-${n}`, WORK)
        : createRead(`stop-${n}`, WORK),
    );
    await untilMore(load, 200);
    const exits = [await first.proxy.drain(), await first.upstream.drain()];
    await untilMore(load, 200);
    second.proxy.child.signal('SIGTERM');
    exits.push(await second.proxy.child.untilExit());
    exits.push(await second.upstream.drain());
    await untilMore(load, 200);
    const records = await load.stop();

    expect(exits.map(({code}) => code)).to.deep.equal([0, 0, 0, 0]);
    expect(await auditFleet(fleet, records)).to.deep.equal(CLEAN_AUDIT);
    const reads = records.filter(({call}) => call.method === 'GET');
    expect(countResults(reads)).to.deep.equal({'answered 200': reads.length});
    const cut = records.filter(({result}) => result.kind === 'cut');
    expect(cut).to.deep.equal([]);
  });
});
