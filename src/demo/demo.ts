/** The demo: runs a fleet as processes and checks its guarantees in steps. */
import {Caller} from '../standins/harness/caller.js';
import {Fleet} from '../standins/harness/fleet.js';
import {DEMO_PLAN} from './demo_plan.js';
import {DemoReport} from './report.js';
import {stopUpstreamUnderLoad} from './planned_stop.js';
import {killProxyUnderLoad} from './proxy_kill.js';
import {publishPatches} from './publish_patches.js';
import {sendSingleRequests} from './send_requests.js';

/**
 * Runs the demo.
 * @param write - Called with each line of the report.
 * @returns True if every check passed. All processes have ended by then.
 */
export async function runDemo(write: (line: string) => void): Promise<boolean> {
  const report = new DemoReport(write);
  const caller = new Caller();
  let fleet: Fleet | undefined;
  try {
    report.startStep('Platform, upstreams and proxies as processes');
    fleet = await Fleet.prepare(DEMO_PLAN);
    await fleet.publish('first', 0, fleet.initialPatch);
    await fleet.startProxies();
    printFleet(report, fleet);
    const demo = {fleet, caller, report};
    await sendSingleRequests(demo);
    await publishPatches(demo);
    await stopUpstreamUnderLoad(demo);
    await killProxyUnderLoad(demo);
  } catch (error) {
    write(`demo: failed; ${error instanceof Error ? error.message : error}`);
    return false;
  } finally {
    await caller.close();
    await fleet?.stop();
  }
  write('demo: ok');
  return true;
}

function printFleet(report: DemoReport, fleet: Fleet): void {
  for (const {id, service, proxy, upstream} of fleet.nodes) {
    report.print(
      `${id} of ${service}: upstream pid ${upstream.child.pid}, ` +
        `proxy pid ${proxy.child.pid}, callers at port ${proxy.ports.callers}`,
    );
  }
}
