/** A request that crashes each upstream which runs it. */
import {Caller} from '../../src/standins/harness/caller.js';
import {Fleet} from '../../src/standins/harness/fleet.js';
import {countResults, describeResult} from '../../src/standins/harness/load.js';
import {untilTrue} from '../../src/standins/harness/until.js';
import {expect} from '../support/chai_setup.js';
import {
  createRead,
  resendUntil,
  startFleet,
  startLoad,
  untilMore,
} from './fleet_support.js';

const QUARANTINED = 'not-run (quarantined)';

describe('a poison request', () => {
  let fleet: Fleet;
  let caller: Caller;
  let isEnding: boolean;
  let supervisors: Promise<unknown>;

  beforeEach(async () => {
    fleet = await startFleet();
    caller = new Caller();
    isEnding = false;
    supervisors = Promise.all(fleet.nodes.map(({id}) => supervise(id)));
  });

  afterEach(async () => {
    isEnding = true;
    await supervisors;
    await caller.close();
    await fleet.stop();
  });

  /** Starts an upstream again whenever it has crashed, as a platform does. */
  async function supervise(id: string): Promise<void> {
    const {upstream} = fleet.getNode(id);
    await untilTrue(
      'the test to end',
      async () => {
        if (!isEnding && upstream.child.exit !== undefined) {
          await upstream.restart();
        }
        return isEnding;
      },
      100_000,
    );
  }

  it('is quarantined on all proxies, and bystanders survive', async () => {
    const load = startLoad(fleet.nodes, n =>
      createRead(`bystander-${n}`, {'x-work-ms': '20'}),
    );
    await untilMore(load, 100);
    const poison = createRead('poison', {'x-crash': '1', 'x-work-ms': '5'});
    await resendUntil(
      caller,
      fleet.nodes,
      poison,
      result => describeResult(result) === QUARANTINED,
    );
    for (const node of fleet.nodes) {
      await resendUntil(
        caller,
        [node],
        poison,
        result => describeResult(result) === QUARANTINED,
      );
    }
    const crashes = await countPoisonRuns();
    await untilMore(load, 300);
    const records = await load.stop();
    for (const {proxy} of fleet.nodes) {
      const result = await caller.send(proxy.ports.callers, poison);
      expect(describeResult(result)).to.equal(QUARANTINED);
    }
    expect(await countPoisonRuns()).to.equal(crashes);
    expect(countResults(records)).to.deep.equal({
      'answered 200': records.length,
    });
  });

  async function countPoisonRuns(): Promise<number> {
    const journal = await fleet.readJournal();
    return journal.filter(({path}) => path === '/stock/poison').length;
  }
});
