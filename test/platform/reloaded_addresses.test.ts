/** A reload of settings in which an address has changed. */
import {readFile, writeFile} from 'node:fs/promises';
import {expect} from '../support/chai_setup.js';
import {FleetStandin, waitForFleet} from './fleet_standin.js';
import {ProcessMachine} from './process_machine.js';

describe('a reload that changes addresses', () => {
  const fleet = new FleetStandin((...args) => new ProcessMachine(...args));

  afterEach(() => fleet.stop());

  // Guards against peers that are told another address, and dial for each call.
  it('leaves the proxy reachable at those on which it listens', async () => {
    await fleet.start(2);
    const [first, second] = fleet.machines;
    const file = await first.prepare();
    const text = await readFile(file, 'utf8');
    await writeFile(file, text.replace(/("peers": ".*):\d+"/, '$1:9"'));
    first.signal('SIGHUP');
    await waitForFleet(async () => {
      const {body} = await first.getInternal('/metrics', 2);
      return body.includes('reload_total{reason="applied"} 1');
    });
    await second.kill();
    await second.start();
    await waitForFleet(() => second.isReady());
    fleet.register(2, {state: 'draining', seq: 2});
    await waitForFleet(async () => {
      const {instances} = await fleet.readStatus(second);
      return instances.some(({state}) => state === 'draining');
    });
    const {status, body} = await second.call('GET', '/read/1');
    expect([status, body]).to.deep.equal([200, 'i-1 for desk']);
    const {peers} = await fleet.readStatus(second);
    const [peersAddress] = text.match(/127[\d.:]+(?=",\s+"ready")/) ?? [];
    expect(peers.map(({address}) => address)).to.deep.equal([peersAddress]);
  }).timeout(60_000);
});
