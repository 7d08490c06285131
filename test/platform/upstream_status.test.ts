/** What upstreams report of themselves in their answers, over real sockets. */
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from '../support/chai_setup.js';
import {FleetStandin, Machine} from './fleet_standin.js';

/** The users' rules: a limit binds this long after it was first named. */
const STABLE_WINDOW_MS = 3_000;
const LIMIT_WINDOW_MS = 4_000;
/** Time for which an upstream that reports that it leaves still serves. */
const DRAIN_MS = 2_000;

/** Requests in a window that the users' rules allow for a limit. */
function getAllowed(perSecond: number): number {
  return 1.5 * perSecond * (LIMIT_WINDOW_MS / 1_000) + 5;
}

/** Time that an upstream takes for a request; the one in need is the fastest. */
const WORK_MS = 60;
const FAST_WORK_MS = 10;

/** Counts the arrivals of the busiest window that begins at `from` or later. */
function countBusiestWindow(times: readonly number[], from: number): number {
  const bound = times.filter(at => at >= from);
  const counts = bound.map(
    start =>
      bound.filter(at => at >= start && at < start + LIMIT_WINDOW_MS).length,
  );
  return Math.max(0, ...counts);
}

describe('status of upstreams', () => {
  let fleet: FleetStandin;

  beforeEach(async () => {
    fleet = new FleetStandin((...args) => new Machine(...args));
    await fleet.start(3);
    for (const [n, {upstream}] of fleet.machines.entries()) {
      upstream.answer = () => delay(n === 1 ? FAST_WORK_MS : WORK_MS, 200);
    }
  });

  afterEach(() => fleet.stop());

  /** Sends calls to all machines in turn; answers the number per status. */
  async function sendCalls(
    untilMs: number,
    gapMs: number,
  ): Promise<Map<number, number>> {
    const statuses = new Map<number, number>();
    const pending: Array<Promise<void>> = [];
    const endAt = performance.now() + untilMs;
    for (let n = 0; performance.now() < endAt; n += 1) {
      const machine = fleet.machines[n % fleet.machines.length];
      const call = machine.call('GET', `/read/${n}`).then(({status}) => {
        statuses.set(status, (statuses.get(status) ?? 0) + 1);
      });
      pending.push(call);
      await delay(gapMs);
    }
    await Promise.all(pending);
    return statuses;
  }

  it('sends an upstream no more requests than the limit that it names', async () => {
    const {upstream} = fleet.machines[1];
    upstream.statusHeaders = {'server-limit': '2.0'};
    const namedAt = performance.now();
    const statuses = await sendCalls(8_000, 10);
    const busiest = countBusiestWindow(
      upstream.receivedAt,
      namedAt + STABLE_WINDOW_MS,
    );
    expect(busiest).to.be.at.most(getAllowed(2));
    expect(busiest).to.be.above(0);
    expect([...statuses.keys()]).to.deep.equal([200]);
  });

  it('sends nothing to an upstream that has reported that it leaves', async () => {
    const {upstream} = fleet.machines[1];
    upstream.statusHeaders = {'server-leaving': '1'};
    while (upstream.receivedPaths.length === 0) {
      await sendCalls(100, 5);
    }
    await delay(DRAIN_MS);
    const received = upstream.receivedPaths.length;
    const statuses = await sendCalls(1_000, 12);
    expect([...statuses.keys()]).to.deep.equal([200]);
    expect(upstream.receivedPaths.length).to.equal(received);
  });
});
