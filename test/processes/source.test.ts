/** Tests versions while the source is down or stale, or operators race. */
import {Fleet} from '../../src/standins/harness/fleet.js';
import {countResults} from '../../src/standins/harness/load_generator.js';
import {ProxyStatus} from '../../src/standins/harness/proxy_process.js';
import {expect} from '../support/chai_setup.js';
import {
  createRead,
  startFleet,
  startLoad,
  waitForMoreRecords,
} from './fleet_support.js';

const RACE_COUNT = 5;

function createPatch(name: string) {
  const route = {pathPrefix: `/${name}`, service: 'billing-core'};
  return {routes: {[name]: route}};
}

describe('versions with a failing source', () => {
  let fleet: Fleet;

  beforeEach(async () => {
    fleet = await startFleet();
  });

  afterEach(() => fleet.stop());

  async function waitForSequenceOnAll(
    sequence: number,
  ): Promise<readonly ProxyStatus[]> {
    return Promise.all(
      fleet.nodes.map(({proxy}) => proxy.waitForSequence(sequence)),
    );
  }

  function getVersions(statuses: readonly ProxyStatus[]): readonly number[] {
    return statuses.map(({version}) => version);
  }

  it('let reads flow and never go back, also across a restart', async () => {
    const [restarted, ...others] = fleet.nodes;
    const second = await fleet.publish('second', 1, createPatch('second'));
    await waitForSequenceOnAll(second);
    const load = startLoad(others, n => createRead(`outage-${n}`));

    await fleet.platform.setFault({down: true});
    await waitForMoreRecords(load, 300);
    await fleet.platform.setFault({down: false, staleAtSequence: 1});
    await waitForMoreRecords(load, 300);

    await restarted.proxy.kill();
    await restarted.proxy.start();
    await restarted.proxy.waitUntilReady();
    const whileStale = await waitForSequenceOnAll(second);
    const records = await load.stop();
    expect(getVersions(whileStale)).to.deep.equal([2, 2, 2]);
    expect(countResults(records)).to.deep.equal({
      'answered 200': records.length,
    });

    await fleet.platform.setFault({staleAtSequence: null});
    const third = await fleet.publish('third', 2, createPatch('third'));
    expect(getVersions(await waitForSequenceOnAll(third))).to.deep.equal([
      3, 3, 3,
    ]);
  });

  it('accept the same one of two racing submissions on every proxy', async () => {
    let lastSequence = 1;
    for (let base = 1; base <= RACE_COUNT; base += 1) {
      const sequences = await Promise.all(
        ['anna', 'bruno'].map(operator => {
          const id = `${operator}-${base}`;
          return fleet.publish(id, base, createPatch(id));
        }),
      );
      lastSequence = Math.max(...sequences);
      await waitForSequenceOnAll(lastSequence);
    }
    const statuses = await waitForSequenceOnAll(lastSequence);
    const digests = new Set(statuses.map(({digest}) => digest));
    const verdicts = statuses[0].outcomes.slice(1).map(o => o.verdict.kind);
    expect(digests.size).to.equal(1);
    expect(getVersions(statuses)).to.deep.equal([6, 6, 6]);
    expect(statuses[1].outcomes).to.deep.equal(statuses[0].outcomes);
    expect(statuses[2].outcomes).to.deep.equal(statuses[0].outcomes);
    expect(verdicts).to.deep.equal(
      Array.from({length: RACE_COUNT}, () => ['accepted', 'refused']).flat(),
    );
  });
});
