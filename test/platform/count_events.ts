/**
 * Counts what the deployed bundle does while it is idle and for each call: wake-ups,
 * timers, socket writes, messages, and processor time. Four processes on loopback
 * serve five calls a second each.
 */
import {once} from 'node:events';
import {mkdtemp, readFile, rm} from 'node:fs/promises';
import {Agent, IncomingMessage, request} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {HEADER_NAMES} from '../../platform/header_names.js';
import {FleetStandin} from './fleet_standin.js';
import {ProcessMachine} from './process_machine.js';

const MACHINES = 4;
const SETTLE_MS = 3_000;
const MEASURED_MS = 6_000;
const CALL_INTERVAL_MS = 200;
const RUN_MS = 60;
const DUMP_MS = 150;

type Counts = Readonly<Record<string, number>>;

/** Reads the totals of all processes since their start. */
async function readTotals(
  fleet: FleetStandin<ProcessMachine>,
  dir: string,
): Promise<Counts> {
  const pids = fleet.machines.flatMap(({pid}) => pid ?? []);
  pids.forEach(pid => process.kill(pid, 'SIGUSR2'));
  await sleep(DUMP_MS);
  const sums: Record<string, number> = {};
  for (const pid of pids) {
    const text = await readFile(join(dir, `${pid}.json`), 'utf8');
    for (const [name, value] of Object.entries(JSON.parse(text) as Counts)) {
      sums[name] = (sums[name] ?? 0) + value;
    }
  }
  return sums;
}

async function call(
  {host, callersPort}: ProcessMachine,
  agent: Agent,
  id: string,
): Promise<number> {
  const headers = {
    host: 'shop.example',
    [HEADER_NAMES.requestId]: id,
    [HEADER_NAMES.timeoutMs]: '2000',
  };
  const path = `/read/${id}`;
  const req = request({host, port: callersPort, path, agent, headers}).end();
  const [res] = (await once(req, 'response')) as [IncomingMessage];
  res.resume();
  await once(res, 'end');
  return res.statusCode ?? 0;
}

async function sendCalls(
  fleet: FleetStandin<ProcessMachine>,
): Promise<readonly number[]> {
  const agent = new Agent({keepAlive: true});
  const pending: Array<Promise<number>> = [];
  for (let n = 0; n < MEASURED_MS / CALL_INTERVAL_MS; n += 1) {
    fleet.machines.forEach((machine, m) =>
      pending.push(call(machine, agent, `${n}-${m}`)),
    );
    await sleep(CALL_INTERVAL_MS);
  }
  const statuses = await Promise.all(pending);
  agent.destroy();
  return statuses;
}

function print(
  title: string,
  before: Counts,
  after: Counts,
  per: number,
): void {
  const figures = Object.keys(after).map(
    name => `${name} ${((after[name] - before[name]) / per).toFixed(2)}`,
  );
  process.stdout.write(`${title}: ${figures.join(', ')}\n`);
}

async function main(): Promise<void> {
  const dir = await mkdtemp(join(tmpdir(), 'fireflysill-counts-'));
  process.env['EVENT_COUNTS_DIR'] = dir;
  process.env['NODE_OPTIONS'] = '--require ./test/platform/event_counter.cjs';
  const fleet = new FleetStandin<ProcessMachine>(
    (...args) => new ProcessMachine(...args),
  );
  try {
    await fleet.start(MACHINES);
    fleet.machines.forEach(({upstream}) => {
      upstream.answer = () => sleep(RUN_MS, 200);
    });
    await sleep(SETTLE_MS);
    const started = await readTotals(fleet, dir);
    await sleep(MEASURED_MS);
    const idled = await readTotals(fleet, dir);
    const seconds = (MEASURED_MS + DUMP_MS) / 1_000;
    print('idle, a second', started, idled, MACHINES * seconds);
    const statuses = await sendCalls(fleet);
    const served = await readTotals(fleet, dir);
    print('5 calls/s, a second', idled, served, MACHINES * seconds);
    print('5 calls/s, a call', idled, served, statuses.length);
    const answered = statuses.filter(status => status === 200).length;
    process.stdout.write(`answered ${answered} of ${statuses.length}\n`);
  } finally {
    await fleet.stop();
    await rm(dir, {recursive: true, force: true});
  }
}

await main();
