/** Step of the demo: stops an upstream and its proxy gracefully under load. */
import {describeResult} from '../standins/harness/load_generator.js';
import {
  DemoContext,
  assertCleanAudit,
  REQUESTS_AFTER_FAULT,
  REQUESTS_BEFORE_FAULT,
  printResults,
  startLoad,
  waitForRecords,
} from './context.js';

/** ID of the upstream that is stopped. */
export const STOPPED_UPSTREAM_ID = 'desk-2';

/** Drains one upstream and its proxy while requests continue. */
export async function stopUpstreamUnderLoad(demo: DemoContext): Promise<void> {
  const {fleet, report} = demo;
  report.startStep(`A planned stop of ${STOPPED_UPSTREAM_ID} under load`);
  const node = fleet.getNode(STOPPED_UPSTREAM_ID);
  const load = startLoad('stop', fleet.nodes);
  await waitForRecords(load, REQUESTS_BEFORE_FAULT);
  const proxyExit = await node.proxy.drain();
  const upstreamExit = await node.upstream.drain();
  await waitForRecords(load, load.records.length + REQUESTS_AFTER_FAULT);
  const records = await load.stop();
  printResults(report, records);
  const rerouted = records.filter(({unreached}) => unreached > 0).length;
  report.print(
    `${rerouted} requests found a closed listener and were sent to another proxy`,
  );
  report.assert(
    'proxy and upstream exited with code 0',
    proxyExit.code === 0 && upstreamExit.code === 0,
    {proxyExit, upstreamExit},
  );
  const unanswered = records.filter(
    ({result}) => describeResult(result) !== 'answered 200',
  );
  report.assert(
    'every request got a complete answer; no connection was cut',
    unanswered.length === 0,
    unanswered.slice(0, 5),
  );
  await assertCleanAudit(demo, records);
}
