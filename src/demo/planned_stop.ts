/** Step of the demo: a planned stop of an upstream under load. */
import {describeResult} from '../standins/harness/load_generator.js';
import {
  DemoContext,
  expectCleanAudit,
  REQUESTS_AFTER_FAULT,
  REQUESTS_BEFORE_FAULT,
  sayResults,
  startLoad,
  untilRecords,
} from './context.js';

/** Upstream that is stopped. */
export const STOPPED = 'desk-2';

/** Stops one upstream in the planned way while requests go on. */
export async function stopUpstreamUnderLoad(demo: DemoContext): Promise<void> {
  const {fleet, report} = demo;
  report.step(`A planned stop of ${STOPPED} under load`);
  const node = fleet.getNode(STOPPED);
  const load = startLoad('stop', fleet.nodes);
  await untilRecords(load, REQUESTS_BEFORE_FAULT);
  const proxyExit = await node.proxy.drain();
  const upstreamExit = await node.upstream.drain();
  await untilRecords(load, load.records.length + REQUESTS_AFTER_FAULT);
  const records = await load.stop();
  sayResults(report, records);
  const moved = records.filter(({unreached}) => unreached > 0).length;
  report.say(
    `${moved} requests met the closed listener and took another proxy`,
  );
  report.expect(
    'proxy and upstream ended with code 0',
    proxyExit.code === 0 && upstreamExit.code === 0,
    {proxyExit, upstreamExit},
  );
  const others = records.filter(
    ({result}) => describeResult(result) !== 'answered 200',
  );
  report.expect(
    'every request got its whole answer; nothing was cut',
    others.length === 0,
    others.slice(0, 5),
  );
  await expectCleanAudit(demo, records);
}
