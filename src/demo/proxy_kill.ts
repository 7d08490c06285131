/** Step of the demo: kills a proxy under load and restarts it. */
import {FleetNode} from '../standins/harness/fleet.js';
import {describeResult} from '../standins/harness/load_generator.js';
import {
  DemoContext,
  describeCounts,
  assertCleanAudit,
  REQUESTS_AFTER_FAULT,
  REQUESTS_BEFORE_FAULT,
  printResults,
  startLoad,
  waitForRecords,
} from './context.js';
import {STOPPED_UPSTREAM_ID} from './planned_stop.js';

/** ID of the upstream whose proxy is killed. */
const KILLED_UPSTREAM_ID = 'billing-1';

/** Kills one proxy while requests continue and prints what callers got. */
export async function killProxyUnderLoad(demo: DemoContext): Promise<void> {
  const {fleet, report} = demo;
  report.startStep(`kill -9 of the proxy of ${KILLED_UPSTREAM_ID} under load`);
  const node = fleet.getNode(KILLED_UPSTREAM_ID);
  const alive = fleet.nodes.filter(({id}) => id !== STOPPED_UPSTREAM_ID);
  const load = startLoad('kill', alive);
  await waitForRecords(load, REQUESTS_BEFORE_FAULT);
  const before = load.records.length;
  await node.proxy.kill();
  await waitForRecords(load, load.records.length + REQUESTS_AFTER_FAULT);
  const records = await load.stop();
  report.print(`before the kill: ${describeCounts(records.slice(0, before))}`);
  report.print('afterwards:');
  printResults(report, records.slice(before));
  await assertCleanAudit(demo, records);
  const reads = records.filter(({call}) => call.method === 'GET');
  const failedReads = reads.filter(
    ({result, proxyId}) =>
      describeResult(result) !== 'answered 200' && proxyId !== node.id,
  );
  report.assert(
    'every read through another proxy got a complete answer',
    failedReads.length === 0,
    failedReads.slice(0, 5),
  );
  await restartProxy(demo, node);
}

/**
 * Restarts a proxy. It has no disk, so it must learn the version from its peers
 * or the platform and must not go back to an older one.
 */
async function restartProxy(
  {fleet, report}: DemoContext,
  node: FleetNode,
): Promise<void> {
  const peer = await fleet.getNode('billing-2').proxy.getStatus();
  await node.proxy.start();
  await node.proxy.waitUntilReady();
  const status = await node.proxy.getStatus();
  report.assert(
    `restarted without a disk, the proxy holds version ${peer.version}`,
    status.version === peer.version && status.digest === peer.digest,
    {status: status.version, peer: peer.version},
  );
}
