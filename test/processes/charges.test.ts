/** Tests charges with an idempotency key while proxies are killed or paused. */
import {Caller, CallResult} from '../../src/standins/harness/caller.js';
import {Fleet} from '../../src/standins/harness/fleet.js';
import {
  countResults,
  describeResult,
  LoadRecord,
} from '../../src/standins/harness/load_generator.js';
import {waitFor, waitUntil} from '../../src/standins/harness/wait_for.js';
import {expect} from '../support/chai_setup.js';
import {
  auditFleet,
  BILLING_PLAN,
  CLEAN_AUDIT,
  createCharge,
  createRead,
  resendUntil,
  startFleet,
  startLoad,
  waitForMoreRecords,
} from './fleet_support.js';

const WORK_HEADERS = {'x-work-ms': '20'};

/** Timeout of the route for charges, in milliseconds. */
const DEADLINE_MS = 1_000;
const CHARGES_DURING_PAUSE = 12;

function isAnswered(result: CallResult): boolean {
  return result.kind === 'answered';
}

describe('charges across failing proxies', () => {
  let fleet: Fleet;
  let caller: Caller;

  beforeEach(async () => {
    fleet = await startFleet({
      ...BILLING_PLAN,
      routes: {
        ...BILLING_PLAN.routes,
        charges: {
          pathPrefix: '/charges',
          service: 'billing-core',
          timeoutMs: DEADLINE_MS,
        },
      },
    });
    caller = new Caller();
  });

  afterEach(async () => {
    await caller.close();
    await fleet.stop();
  });

  it('run at most once when a proxy is killed, and resends agree', async () => {
    const [victim, ...others] = fleet.nodes;
    const load = startLoad(fleet.nodes, n =>
      createCharge(`kill-${n}`, WORK_HEADERS),
    );
    await waitForMoreRecords(load, 150);
    await victim.proxy.kill();
    await waitForMoreRecords(load, 150);
    await victim.proxy.start();
    await victim.proxy.waitUntilReady();
    await waitForMoreRecords(load, 150);
    const records = [...(await load.stop())];
    const inDoubt = records.filter(
      ({result}) => result.kind !== 'answered' && result.kind !== 'unreached',
    );
    for (const {call} of inDoubt) {
      const result = await caller.send(others[0].proxy.ports.callers, call);
      records.push({call, proxyId: others[0].id, result, unreached: 0});
    }
    expect(await auditFleet(fleet, records)).to.deep.equal(CLEAN_AUDIT);
    expect(countResults(records)['answered 200']).to.be.greaterThan(300);
  });

  it('run once when their owner is paused while they run', async () => {
    const [entry, other] = fleet.nodes;
    const {call, owner, pendingResult} = await startChargeAtOtherOwner();
    owner.proxy.child.signal('SIGSTOP');
    const firstResult = await pendingResult;
    owner.proxy.child.signal('SIGCONT');
    const resent = await resendUntil(caller, [entry, other], call, isAnswered);
    const journal = await fleet.readJournal();
    const runs = journal.filter(
      ({path, cancelled}) => path === call.path && cancelled === undefined,
    );
    expect(firstResult.kind === 'refused' && firstResult.outcome).to.equal(
      'unknown',
    );
    expect(isAnswered(resent[resent.length - 1])).to.equal(true);
    expect(runs.length).to.equal(1);
  });

  /** Starts a charge that another proxy than its entry owns. */
  async function startChargeAtOtherOwner() {
    const [entry] = fleet.nodes;
    for (let n = 0; ; n += 1) {
      const call = createCharge(`pause-${n}`, {'x-work-ms': '700'});
      const pendingResult = caller.send(entry.proxy.ports.callers, call);
      const run = await waitFor('the charge to run', async () => {
        const journal = await fleet.readJournal();
        return journal.find(({path}) => path === call.path);
      });
      if (run.upstreamId !== entry.id) {
        return {call, owner: fleet.getNode(run.upstreamId), pendingResult};
      }
      await pendingResult;
    }
  }

  it('reported as not run never run when their paused owner resumes', async () => {
    const [paused, ...others] = fleet.nodes;
    paused.proxy.child.signal('SIGSTOP');
    const sent = Array.from({length: CHARGES_DURING_PAUSE}, async (_, n) => {
      const call = createCharge(`late-${n}`, WORK_HEADERS);
      const {id, proxy} = others[n % others.length];
      const result = await caller.send(proxy.ports.callers, call);
      return {call, proxyId: id, result, unreached: 0} satisfies LoadRecord;
    });
    const records = await Promise.all(sent);
    paused.proxy.child.signal('SIGCONT');
    await waitUntilServing(paused.id);
    expect(await auditFleet(fleet, records)).to.deep.equal(CLEAN_AUDIT);
    const kinds = new Set(records.map(({result}) => describeResult(result)));
    expect([...kinds].some(kind => kind.startsWith('cut'))).to.equal(false);
  });

  /**
   * Waits until a resumed proxy answers reads. By then it has processed the
   * requests that arrived while it was paused.
   */
  async function waitUntilServing(id: string): Promise<void> {
    const {proxy} = fleet.getNode(id);
    await waitUntil(`${id} to serve again`, async () => {
      const read = createRead(`resumed-${id}`);
      const result = await caller.send(proxy.ports.callers, read);
      return isAnswered(result);
    });
  }
});
