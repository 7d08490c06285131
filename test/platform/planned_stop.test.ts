/** Planned stops in turn, under load, over real sockets. */
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from '../support/chai_setup.js';
import {FleetStandin, Machine, waitForFleet} from './fleet_standin.js';

const MACHINES = 3;
const WORK_MS = 60;
/** More than the upstreams serve while one proxy stops, so that owners refuse. */
const CALL_GAP_MS = 3;

describe('planned stops in turn', () => {
  let fleet: FleetStandin;

  beforeEach(async () => {
    fleet = new FleetStandin((...args) => new Machine(...args));
    await fleet.start(MACHINES);
    for (const {upstream} of fleet.machines) {
      upstream.answer = () => delay(WORK_MS, 200);
    }
  });

  afterEach(() => fleet.stop());

  it('cut no charge, and run none twice', async () => {
    const statuses = new Map<number, number>();
    const pending: Array<Promise<void>> = [];
    let stopping: Machine | undefined;
    let sending = true;
    const send = async () => {
      for (let n = 0; sending; n += 1) {
        const machine = fleet.machines[n % MACHINES];
        if (machine !== stopping) {
          const call = machine.call('POST', `/charge/${n}`).then(reply => {
            const {status} = reply;
            statuses.set(status, (statuses.get(status) ?? 0) + 1);
          });
          pending.push(call);
        }
        await delay(CALL_GAP_MS);
      }
    };
    const sender = send();
    for (const machine of fleet.machines.slice(1)) {
      stopping = machine;
      await machine.requestStop();
      await machine.stopProxy();
      await machine.start();
      await waitForFleet(() => machine.isReady());
    }
    sending = false;
    await sender;
    await Promise.all(pending);
    expect([200, 503]).to.include.members([...statuses.keys()]);
    const runs = fleet.machines.flatMap(({upstream}) => upstream.receivedPaths);
    expect(runs.length).to.equal(new Set(runs).size);
    expect(runs.length).to.equal(statuses.get(200));
  });

  it('run nothing that arrives after the decision to end', async () => {
    const [first, second] = fleet.machines;
    for (const n of [1, 3]) {
      fleet.register(n, {state: 'draining', seq: 2});
    }
    await waitForFleet(async () => {
      const {instances} = await fleet.readStatus(first);
      return instances.filter(({state}) => state !== 'ready').length === 2;
    });
    second.upstream.answer = () => delay(1_000, 200);
    await second.requestStop();
    const pending = first.call('POST', '/charge/late');
    await second.stopProxy();
    expect((await pending).status).to.equal(503);
    expect(second.upstream.receivedPaths).to.deep.equal([]);
  });
});
