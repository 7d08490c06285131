/** Proxies on the platform's interfaces, end to end over real sockets. */
import {expect} from '../support/chai_setup.js';
import {sendRaw} from '../processes/raw_socket.js';
import {FleetStandin, Machine, waitForFleet} from './fleet_standin.js';
import {createConfigDocument} from './store_standin.js';

describe('fleet on the platform', () => {
  let fleet: FleetStandin;

  beforeEach(async () => {
    fleet = new FleetStandin((...args) => new Machine(...args));
    await fleet.start(3);
  });

  afterEach(() => fleet.stop());

  function countRuns(path: string): number {
    const runs = fleet.machines.flatMap(({upstream}) => upstream.receivedPaths);
    return runs.filter(ran => ran === path).length;
  }

  it('answers calls on each VM with an upstream answer', async () => {
    for (const [n, machine] of fleet.machines.entries()) {
      const reply = await machine.call('GET', `/read/${n}`);
      const id = reply.body.split(' ')[0];
      expect(reply.status).to.equal(200);
      expect(reply.body).to.equal(`${id} for desk`);
      expect(reply.headers['x-response-signature']).to.equal(`signed-${id}`);
      expect(countRuns(`/read/${n}`)).to.equal(1);
    }
  });

  it('answers 404 if no route matches and 400 to two Host headers', async () => {
    const [machine] = fleet.machines;
    expect((await machine.call('GET', '/none/')).status).to.equal(404);
    const raw = await sendRaw(
      machine.callersPort,
      [
        'GET /read/1 HTTP/1.1\r\nHost: shop.example\r\nHost: other.example\r\nConnection: close\r\n\r\n',
      ],
      false,
      machine.host,
    );
    expect(raw.statuses).to.deep.equal([400]);
    expect(countRuns('/read/1')).to.equal(0);
  });

  it('runs a charge only once when the upstream does not answer in time', async () => {
    for (const {upstream} of fleet.machines) {
      upstream.answer = () => new Promise(() => undefined);
    }
    const [machine] = fleet.machines;
    const pending = machine.call('POST', '/charge/1', {'x-deadline-ms': '900'});
    await waitForFleet(async () => countRuns('/charge/1') === 1);
    expect((await pending).status).to.equal(504);
    expect(countRuns('/charge/1')).to.equal(1);
  });

  it('sends nothing to a draining upstream', async () => {
    fleet.register(2, {state: 'draining', seq: 2});
    const [first, second] = fleet.machines;
    await waitForFleet(async () => {
      const {instances} = await fleet.readStatus(first);
      return instances.some(({id, state}) => id === 'i-2' && state !== 'ready');
    });
    for (let n = 0; n < 30; n += 1) {
      await first.call('GET', `/read/${n}`);
    }
    expect(second.upstream.receivedPaths).to.deep.equal([]);
  });

  it('applies a new version on all proxies and ignores an invalid one', async () => {
    fleet.store.put('op/config', createConfigDocument(5, {routes: {}}));
    fleet.store.put('op/config', createConfigDocument(6, {limits: 'none'}));
    for (const machine of fleet.machines) {
      await waitForFleet(
        async () => (await fleet.readStatus(machine)).version === 5,
      );
      expect((await machine.call('GET', '/read/1')).status).to.equal(404);
    }
  });

  it('keeps versions and upstreams while the store returns from a copy', async () => {
    const copy = fleet.store.createCopy();
    fleet.store.put('op/config', createConfigDocument(5, {routes: {}}));
    fleet.register(2, {state: 'draining', seq: 2});
    const [first, second, third] = fleet.machines;
    const knowsChanges = async (machine: Machine) => {
      const {version, instances} = await fleet.readStatus(machine);
      const drains = instances.some(i => i.id === 'i-2' && i.state !== 'ready');
      return version === 5 && drains;
    };
    for (const machine of fleet.machines) {
      await waitForFleet(() => knowsChanges(machine));
    }
    fleet.store.restore(copy);
    fleet.register(1, {seq: 2});
    fleet.register(3, {seq: 2});
    const later = createConfigDocument(8);
    fleet.store.put('op/config', later);
    for (const machine of [first, third]) {
      await waitForFleet(
        async () => (await fleet.readStatus(machine)).version === 8,
      );
    }
    for (let n = 0; n < 20; n += 1) {
      const reply = await first.call('GET', `/read/${n}`);
      expect(reply.status).to.equal(200);
    }
    expect(second.upstream.receivedPaths).to.deep.equal([]);
  });

  it('becomes ready with state from its peers while the store is busy', async () => {
    const [first, second] = fleet.machines;
    await waitForFleet(
      async () => (await fleet.readStatus(second)).peers.length > 1,
    );
    fleet.store.mode = 'busy';
    await first.stopProxy();
    await first.start();
    await waitForFleet(() =>
      second.call('GET', '/read/1').then(r => r.status === 200),
    );
    await waitForFleet(() => first.isReady());
    expect((await first.call('GET', '/read/2')).status).to.equal(200);
  });

  it('finishes running calls before a planned stop completes', async () => {
    const [machine, second, third] = fleet.machines;
    let finish: (status: number) => void = () => undefined;
    for (const {upstream} of [machine, second, third]) {
      upstream.answer = () => new Promise(resolve => (finish = resolve));
    }
    const pending = machine.call('POST', '/charge/2');
    await waitForFleet(async () => countRuns('/charge/2') === 1);
    const stopped = machine.requestStop();
    expect(await machine.isReady()).to.equal(false);
    finish(200);
    expect((await pending).status).to.equal(200);
    await stopped;
  });
});
