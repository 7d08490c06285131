/** What the steps of the demo share. */
import {auditRecords, hasNoViolations} from '../standins/harness/audit.js';
import {Caller} from '../standins/harness/caller.js';
import {Fleet, FleetNode} from '../standins/harness/fleet.js';
import {
  countResults,
  LoadGenerator,
  LoadRecord,
} from '../standins/harness/load_generator.js';
import {waitUntil} from '../standins/harness/wait_for.js';
import {createMixedCallFactory} from './demo_plan.js';
import {DemoReport} from './report.js';

const LOAD_WORKERS = 24;

/** Requests that go through before a fault is caused. */
export const REQUESTS_BEFORE_FAULT = 400;

/** Requests that go through after a fault before the load ends. */
export const REQUESTS_AFTER_FAULT = 800;

export interface DemoContext {
  readonly fleet: Fleet;
  readonly caller: Caller;
  readonly report: DemoReport;
}

export function startLoad(
  name: string,
  nodes: readonly FleetNode[],
): LoadGenerator {
  return new LoadGenerator({
    workers: LOAD_WORKERS,
    proxies: nodes.map(({proxy}) => proxy),
    createCall: createMixedCallFactory(name),
  });
}

export async function waitForRecords(
  load: LoadGenerator,
  count: number,
): Promise<void> {
  await waitUntil(`${count} requests to be dealt with`, () => {
    return load.records.length >= count;
  });
}

export function printResults(
  report: DemoReport,
  records: readonly LoadRecord[],
): void {
  const isCharge = ({call}: LoadRecord) => call.method === 'POST';
  const reads = records.filter(record => !isCharge(record));
  report.print(`reads: ${describeCounts(reads)}`);
  report.print(`charges: ${describeCounts(records.filter(isCharge))}`);
}

export function describeCounts(records: readonly LoadRecord[]): string {
  const counts = Object.entries(countResults(records));
  return counts.map(([label, count]) => `${count} ${label}`).join(', ');
}

export async function assertCleanAudit(
  {fleet, report}: DemoContext,
  records: readonly LoadRecord[],
): Promise<void> {
  const audit = auditRecords(records, await fleet.readJournal());
  report.assert(
    'the journals show no double run, no false "not run" and no foreign answer',
    hasNoViolations(audit),
    audit,
  );
}
