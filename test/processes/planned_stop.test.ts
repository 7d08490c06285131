/** Tests graceful shutdowns of proxies and upstreams under load. */
import {CallRequest} from '../../src/standins/harness/caller.js';
import {Fleet} from '../../src/standins/harness/fleet.js';
import {countResults} from '../../src/standins/harness/load_generator.js';
import {expect} from '../support/chai_setup.js';
import {
  auditFleet,
  CLEAN_AUDIT,
  createCharge,
  createRead,
  startFleet,
  startLoad,
  waitForMoreRecords,
} from './fleet_support.js';

const WORK_HEADERS = {'x-work-ms': '20'};

function createMixedCall(n: number): CallRequest {
  const name = `stop-${n}`;
  return n % 2 === 0
    ? createCharge(name, WORK_HEADERS)
    : createRead(name, WORK_HEADERS);
}

describe('planned stops', () => {
  let fleet: Fleet;

  beforeEach(async () => {
    fleet = await startFleet();
  });

  afterEach(() => fleet.stop());

  it('of upstreams taken out of the configuration first fail nothing', async () => {
    const [leaving, ...others] = fleet.nodes;
    const load = startLoad(others, createMixedCall);
    await waitForMoreRecords(load, 200);
    const patch = {upstreams: {[leaving.id]: null}};
    const sequence = await fleet.publish('take-out', 1, patch);
    await Promise.all(others.map(({proxy}) => proxy.waitForSequence(sequence)));
    await waitForMoreRecords(load, 100);
    const exits = [await leaving.proxy.drain(), await leaving.upstream.drain()];
    await waitForMoreRecords(load, 200);
    const records = await load.stop();

    expect(exits.map(({code}) => code)).to.deep.equal([0, 0]);
    expect(await auditFleet(fleet, records)).to.deep.equal(CLEAN_AUDIT);
    expect(countResults(records)).to.deep.equal({
      'answered 200': records.length,
    });
  });

  it('cut nothing, whether asked for by request or by SIGTERM', async () => {
    const [first, second] = fleet.nodes;
    const load = startLoad(fleet.nodes, createMixedCall);
    await waitForMoreRecords(load, 200);
    const exits = [await first.proxy.drain(), await first.upstream.drain()];
    await waitForMoreRecords(load, 200);
    second.proxy.child.signal('SIGTERM');
    exits.push(await second.proxy.child.waitForExit());
    exits.push(await second.upstream.drain());
    await waitForMoreRecords(load, 200);
    const records = await load.stop();

    expect(exits.map(({code}) => code)).to.deep.equal([0, 0, 0, 0]);
    expect(await auditFleet(fleet, records)).to.deep.equal(CLEAN_AUDIT);
    const reads = records.filter(({call}) => call.method === 'GET');
    expect(countResults(reads)).to.deep.equal({'answered 200': reads.length});
    const cut = records.filter(({result}) => result.kind === 'cut');
    expect(cut).to.deep.equal([]);
  });
});
