/**
 * Demo of the platform adapter with a stand-in store. The deployed bundle runs
 * as four processes, and each step checks one guarantee.
 */
import {DemoReport} from '../../src/demo/report.js';
import {waitUntil} from '../../src/standins/harness/wait_for.js';
import {FleetStandin, Reply} from './fleet_standin.js';
import {ProcessMachine} from './process_machine.js';
import {createConfigDocument} from './store_standin.js';

const MACHINES = 4;
const CALLS = 40;

type DemoFleet = FleetStandin<ProcessMachine>;

async function main(): Promise<boolean> {
  const write = (line: string) => void process.stdout.write(`${line}\n`);
  const report = new DemoReport(write);
  const fleet: DemoFleet = new FleetStandin(
    (...args) => new ProcessMachine(...args),
  );
  try {
    report.startStep('Start the store, upstreams and proxy processes');
    await fleet.start(MACHINES);
    for (const {host, pid, upstream} of fleet.machines) {
      report.print(`${host}: upstream ${upstream.id}, proxy pid ${pid}`);
    }
    await serveCalls(fleet, report);
    await changeConfig(fleet, report);
    await drainUpstream(fleet, report);
    await killProxy(fleet, report);
    await makeStoreUnavailable(fleet, report);
    await stopProxy(fleet, report);
  } catch (error) {
    write(
      `platform demo: failed; ${error instanceof Error ? error.message : error}`,
    );
    return false;
  } finally {
    await fleet.stop();
  }
  write('platform demo: ok');
  return true;
}

/** Sends reads and charges alternately and returns the replies. */
async function sendCalls(
  machine: ProcessMachine,
  step: string,
): Promise<readonly Reply[]> {
  const replies: Reply[] = [];
  for (let n = 0; n < CALLS; n += 1) {
    const isCharge = n % 2 === 1;
    const path = `/${isCharge ? 'charge' : 'read'}/${step}-${n}`;
    replies.push(await machine.call(isCharge ? 'POST' : 'GET', path));
  }
  return replies;
}

function expectAllAnswered(
  report: DemoReport,
  who: string,
  replies: readonly Reply[],
): void {
  const statuses = replies.map(({status}) => status);
  const areAllAnswered = statuses.every(status => status === 200);
  report.assert(
    `${CALLS} calls ${who} were answered`,
    areAllAnswered,
    statuses,
  );
}

function expectEachChargeRanOnce(fleet: DemoFleet, report: DemoReport): void {
  const runs = fleet.machines.flatMap(({upstream}) => upstream.receivedPaths);
  const charges = runs.filter(path => path.startsWith('/charge/'));
  const areDistinct = charges.length === new Set(charges).size;
  report.assert('no charge ran twice', areDistinct, charges);
}

async function serveCalls(fleet: DemoFleet, report: DemoReport): Promise<void> {
  report.startStep('Calls from each VM');
  for (const machine of fleet.machines) {
    const step = `first-${machine.upstream.id}`;
    expectAllAnswered(
      report,
      `at ${machine.host}`,
      await sendCalls(machine, step),
    );
  }
  expectEachChargeRanOnce(fleet, report);
}

async function changeConfig(
  fleet: DemoFleet,
  report: DemoReport,
): Promise<void> {
  report.startStep('A new version, then an invalid one');
  fleet.store.put('op/config', createConfigDocument(7));
  fleet.store.put('op/config', createConfigDocument(9, {limits: 'none'}));
  for (const machine of fleet.machines) {
    await waitUntil(
      `version 7 at ${machine.host}`,
      async () => (await fleet.readStatus(machine)).version === 7,
    );
  }
  report.assert('every proxy applied version 7 and ignored 9', true, 7);
}

async function drainUpstream(
  fleet: DemoFleet,
  report: DemoReport,
): Promise<void> {
  report.startStep('Draining of an upstream');
  const [first, second] = fleet.machines;
  fleet.register(2, {state: 'draining', seq: 2});
  await waitUntil('i-2 to be reported as draining', async () => {
    const {instances} = await fleet.readStatus(first);
    return instances.some(({id, state}) => id === 'i-2' && state !== 'ready');
  });
  const before = second.upstream.receivedPaths.length;
  expectAllAnswered(report, 'meanwhile', await sendCalls(first, 'drain'));
  const after = second.upstream.receivedPaths.length;
  report.assert(
    'no call reached the draining upstream',
    after === before,
    after - before,
  );
}

async function killProxy(fleet: DemoFleet, report: DemoReport): Promise<void> {
  report.startStep('SIGKILL of one proxy');
  const [first, , third] = fleet.machines;
  await third.kill();
  const replies = await sendCalls(first, 'kill');
  const reads = replies.filter((_, n) => n % 2 === 0);
  const areAllAnswered = reads.every(({status}) => status === 200);
  report.assert(
    'every read through another proxy was answered',
    areAllAnswered,
    reads.map(({status}) => status),
  );
  expectEachChargeRanOnce(fleet, report);
}

async function makeStoreUnavailable(
  fleet: DemoFleet,
  report: DemoReport,
): Promise<void> {
  report.startStep('Restart of the killed proxy while the store is busy');
  const [first, , third] = fleet.machines;
  fleet.store.mode = 'busy';
  expectAllAnswered(
    report,
    'without the store',
    await sendCalls(first, 'outage'),
  );
  await third.start();
  await waitUntil('the restarted proxy to be ready', () => third.isReady());
  await reportStartCost(report, third);
  const {version} = await fleet.readStatus(third);
  report.assert('it received version 7 from its peers', version === 7, version);
  expectAllAnswered(report, 'through it', await sendCalls(third, 'back'));
  fleet.store.mode = 'answers';
}

/** Prints the processor time and memory that a start takes. */
async function reportStartCost(
  report: DemoReport,
  machine: ProcessMachine,
): Promise<void> {
  const {body} = await machine.getInternal('/metrics', 2);
  const getLevel = (level: string) =>
    Number(body.match(new RegExp(`level="${level}"} (\\S+)`))?.[1]);
  const seconds = getLevel('processor_seconds').toFixed(2);
  const megabytes = (getLevel('peak_resident_bytes') / 1e6).toFixed(1);
  report.print(
    `until ready: ${seconds} s of processor time, ${megabytes} MB peak memory`,
  );
}

async function stopProxy(fleet: DemoFleet, report: DemoReport): Promise<void> {
  report.startStep('Planned stop of a proxy with SIGTERM');
  const exit = await fleet.machines[3].terminate();
  report.assert('it exited with code 0', exit?.code === 0, exit);
  expectAllAnswered(
    report,
    'afterwards',
    await sendCalls(fleet.machines[0], 'stop'),
  );
  expectEachChargeRanOnce(fleet, report);
}

process.exitCode = (await main()) ? 0 : 1;
