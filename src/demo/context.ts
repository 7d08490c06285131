/** Context and helpers shared by the steps of the demo. */
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

/** Requests of the load that are in flight at the same time. */
const LOAD_WORKERS = 24;

/** Number of completed requests before a fault is injected. */
export const REQUESTS_BEFORE_FAULT = 400;

/** Number of further completed requests after a fault. */
export const REQUESTS_AFTER_FAULT = 800;

/** What each step of the demo works with. */
export interface DemoContext {
  readonly fleet: Fleet;
  readonly caller: Caller;
  readonly report: DemoReport;
}

/** Starts a mix of reads and charges through the proxies of the given nodes. */
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

/** Waits until the load has completed that many requests. */
export async function waitForRecords(
  load: LoadGenerator,
  count: number,
): Promise<void> {
  await waitUntil(`${count} requests to complete`, () => {
    return load.records.length >= count;
  });
}

/** Prints the results of reads and charges separately. */
export function printResults(
  report: DemoReport,
  records: readonly LoadRecord[],
): void {
  const isCharge = ({call}: LoadRecord) => call.method === 'POST';
  const reads = records.filter(record => !isCharge(record));
  report.print(`reads: ${describeCounts(reads)}`);
  report.print(`charges: ${describeCounts(records.filter(isCharge))}`);
}

/** Lists how many requests had each result. */
export function describeCounts(records: readonly LoadRecord[]): string {
  const counts = Object.entries(countResults(records));
  return counts.map(([label, count]) => `${count} ${label}`).join(', ');
}

/** Checks the results of callers against the journals of the upstreams. */
export async function assertCleanAudit(
  {fleet, report}: DemoContext,
  records: readonly LoadRecord[],
): Promise<void> {
  const audit = auditRecords(records, await fleet.readJournal());
  report.assert(
    'by the journals, nothing ran twice, nothing that ran was reported as not run, and each answer belongs to its request',
    hasNoViolations(audit),
    audit,
  );
}
