/** Tests a request that crashes every upstream on which it runs. */
import * as z from 'zod';
import {Caller} from '../../src/standins/harness/caller.js';
import {Fleet} from '../../src/standins/harness/fleet.js';
import {
  countResults,
  describeResult,
} from '../../src/standins/harness/load_generator.js';
import {ProxyProcess} from '../../src/standins/harness/proxy_process.js';
import {waitUntil} from '../../src/standins/harness/wait_for.js';
import {expect} from '../support/chai_setup.js';
import {
  createRead,
  startFleet,
  startLoad,
  waitForMoreRecords,
} from './fleet_support.js';

/** Number of crashes after which no upstream may run the request. */
const CRASHES_BEFORE_QUARANTINE = 2;

const StatusSchema = z.looseObject({
  suspects: z.array(z.looseObject({crashedAt: z.array(z.string())})),
});

const QUARANTINED = 'not-run (quarantined)';

describe('a poison request', () => {
  let fleet: Fleet;
  let caller: Caller;
  let isTestOver: boolean;
  let restartLoops: Promise<unknown>;

  beforeEach(async () => {
    fleet = await startFleet();
    caller = new Caller();
    isTestOver = false;
    restartLoops = Promise.all(
      fleet.nodes.map(({id}) => restartAfterCrashes(id)),
    );
  });

  afterEach(async () => {
    isTestOver = true;
    await restartLoops;
    await caller.close();
    await fleet.stop();
  });

  /** Restarts an upstream after each crash, as a platform does. */
  async function restartAfterCrashes(id: string): Promise<void> {
    const {upstream} = fleet.getNode(id);
    await waitUntil(
      'the test to end',
      async () => {
        if (!isTestOver && upstream.child.exit !== undefined) {
          await upstream.restart();
        }
        return isTestOver;
      },
      100_000,
    );
  }

  it('is quarantined on all proxies, and bystanders survive', async () => {
    const load = startLoad(fleet.nodes, n =>
      createRead(`bystander-${n}`, {'x-work-ms': '20'}),
    );
    await waitForMoreRecords(load, 100);
    const poisonRead = createRead('poison', {'x-crash': '1', 'x-work-ms': '5'});
    for (const {proxy} of [...fleet.nodes, ...fleet.nodes]) {
      await caller.send(proxy.ports.callers, poisonRead);
      await waitUntilCrashesAreKnown();
    }
    const results = [];
    for (const {proxy} of fleet.nodes) {
      const result = await caller.send(proxy.ports.callers, poisonRead);
      results.push(describeResult(result));
    }
    await waitForMoreRecords(load, 300);
    const records = await load.stop();
    expect(results).to.deep.equal([QUARANTINED, QUARANTINED, QUARANTINED]);
    expect(await countPoisonRuns()).to.equal(CRASHES_BEFORE_QUARANTINE);
    expect(countResults(records)).to.deep.equal({
      'answered 200': records.length,
    });
  });

  /** Waits until every proxy knows of all crashes, as a slow caller would. */
  async function waitUntilCrashesAreKnown(): Promise<void> {
    const crashes = await countPoisonRuns();
    await waitUntil('every proxy to know the crashes', async () => {
      const crashCounts = await Promise.all(
        fleet.nodes.map(({proxy}) => getMaxCrashCount(proxy)),
      );
      return crashCounts.every(count => count >= crashes);
    });
  }

  async function getMaxCrashCount(proxy: ProxyProcess): Promise<number> {
    const {suspects} = StatusSchema.parse(await proxy.getStatus());
    return Math.max(0, ...suspects.map(({crashedAt}) => crashedAt.length));
  }

  async function countPoisonRuns(): Promise<number> {
    const journal = await fleet.readJournal();
    return journal.filter(({path}) => path === '/stock/poison').length;
  }
});
