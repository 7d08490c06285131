/** Uploads that are slow: what limits them is the time budget of their request. */
import {setTimeout as delay} from 'node:timers/promises';
import {HEADER_NAMES} from '../../platform/header_names.js';
import {expect} from '../support/chai_setup.js';
import {FleetStandin, Machine} from './fleet_standin.js';
import {RawClient} from './raw_client.js';

/** Longer than the time limit for requests of unknown callers. */
const SLOW_MS = 11_500;

const BODY = 'x'.repeat(1_000);

describe('a slow upload', () => {
  const fleet = new FleetStandin((...args) => new Machine(...args));
  let budgets: number[];

  before(() => fleet.start(1));

  beforeEach(() => {
    budgets = [];
    const [{upstream}] = fleet.machines;
    upstream.receivedPaths.length = 0;
    upstream.takeRequest = req => {
      budgets.push(Number(req.headers[HEADER_NAMES.timeoutMs]));
      return false;
    };
  });

  after(() => fleet.stop());

  async function upload(budgetMs: number, sendMs: number) {
    const [{host, callersPort}] = fleet.machines;
    const client = new RawClient(host, callersPort);
    const path = '/charge/1';
    const req = {
      id: 'r-1',
      method: 'POST',
      path,
      budgetMs,
      body: BODY,
    } as const;
    const exchange = client.send(req, delay(sendMs));
    await client.waitFor(0);
    await delay(
      Math.max(0, exchange.startedAt + sendMs + 500 - performance.now()),
    );
    client.close();
    const [{upstream}] = fleet.machines;
    return {status: exchange.status, runs: upstream.receivedPaths};
  }

  // Guards against REFUSED: a fixed time for all uploads, and a run after its 408.
  it('is served within the time budget of its request', async () => {
    const result = await upload(2 * SLOW_MS, SLOW_MS);
    expect(result).to.deep.equal({status: 200, runs: ['/charge/1']});
  });

  it('is refused at the end of the budget and never runs', async () => {
    const result = await upload(600, 1_500);
    expect(result).to.deep.equal({status: 408, runs: []});
  });

  // Guards against BUDGET: an upstream gets more time than the caller has left.
  it('leaves the upstream the rest of the budget', async () => {
    await upload(1_000, 600);
    expect(
      budgets.map(ms => ms > 0 && ms < 500),
      String(budgets),
    ).to.deep.equal([true]);
  });
});
