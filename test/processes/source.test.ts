/** Versions while the source is down or stale, and operators that race. */
import {Fleet} from '../../src/standins/harness/fleet.js';
import {countResults} from '../../src/standins/harness/load_generator.js';
import {ProxyStatus} from '../../src/standins/harness/proxy_process.js';
import {expect} from '../support/chai_setup.js';
import {createRead, startFleet, startLoad, untilMore} from './fleet_support.js';

const RACES = 5;

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

  async function untilAllHold(
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
    await untilAllHold(second);
    const load = startLoad(others, n => createRead(`outage-${n}`));

    await fleet.platform.setFault({down: true});
    await untilMore(load, 300);
    await fleet.platform.setFault({down: false, staleAtSequence: 1});
    await untilMore(load, 300);

    await restarted.proxy.kill();
    await restarted.proxy.start();
    await restarted.proxy.waitUntilReady();
    const whileStale = await untilAllHold(second);
    const records = await load.stop();
    expect(getVersions(whileStale)).to.deep.equal([2, 2, 2]);
    expect(countResults(records)).to.deep.equal({
      'answered 200': records.length,
    });

    await fleet.platform.setFault({staleAtSequence: null});
    const third = await fleet.publish('third', 2, createPatch('third'));
    expect(getVersions(await untilAllHold(third))).to.deep.equal([3, 3, 3]);
  });

  it('give racing operators the same one winner on every proxy', async () => {
    let last = 1;
    for (let base = 1; base <= RACES; base += 1) {
      const sequences = await Promise.all(
        ['anna', 'bruno'].map(operator => {
          const id = `${operator}-${base}`;
          return fleet.publish(id, base, createPatch(id));
        }),
      );
      last = Math.max(...sequences);
      await untilAllHold(last);
    }
    const statuses = await untilAllHold(last);
    const digests = new Set(statuses.map(({digest}) => digest));
    const verdicts = statuses[0].outcomes.slice(1).map(o => o.verdict.kind);
    expect(digests.size).to.equal(1);
    expect(getVersions(statuses)).to.deep.equal([6, 6, 6]);
    expect(statuses[1].outcomes).to.deep.equal(statuses[0].outcomes);
    expect(statuses[2].outcomes).to.deep.equal(statuses[0].outcomes);
    expect(verdicts).to.deep.equal(
      Array.from({length: RACES}, () => ['accepted', 'refused']).flat(),
    );
  });
});
