/** Step of the demo: sends single requests through every proxy. */
import {Fleet} from '../standins/harness/fleet.js';
import {describeResult} from '../standins/harness/load_generator.js';
import {waitUntil} from '../standins/harness/wait_for.js';
import {DemoContext} from './context.js';
import {createChargeCall, createReadCall} from './demo_plan.js';

/**
 * Clock skew that a key holder allows for: it accepts only keys that were
 * created more than this long after its start.
 */
const CLOCK_SKEW_MS = 1_000;

/** Sends single requests through every proxy, and one charge twice. */
export async function sendSingleRequests(demo: DemoContext): Promise<void> {
  const {fleet, report, caller} = demo;
  report.startStep('Requests through every proxy');
  for (const {id, proxy} of fleet.nodes) {
    const read = createReadCall(`from-${id}`);
    const result = await caller.send(proxy.ports.callers, read);
    const isAnswered = result.kind === 'answered' && result.status === 200;
    report.assert(
      `GET ${read.path} through ${id} is answered`,
      isAnswered,
      result,
    );
  }
  await sendChargeTwice(demo);
  const [node] = fleet.nodes;
  const nowhere = {method: 'GET', path: '/nowhere'};
  const refused = await caller.send(node.proxy.ports.callers, nowhere);
  report.assert(
    'a request without a route is refused as not run',
    describeResult(refused) === 'not-run (no_route)',
    refused,
  );
}

async function sendChargeTwice(demo: DemoContext): Promise<void> {
  const {fleet, report, caller} = demo;
  await waitForKeysAfterStart(fleet);
  const charge = createChargeCall('sent-twice');
  const [first, second] = fleet.nodes;
  const results = [
    await caller.send(first.proxy.ports.callers, charge),
    await caller.send(second.proxy.ports.callers, charge),
  ];
  const journal = await fleet.readJournal();
  const runs = journal.filter(({path}) => path === charge.path);
  report.assert(
    `a charge sent through ${first.id} and again through ${second.id} is answered twice`,
    results.every(result => result.kind === 'answered'),
    results,
  );
  report.assert(
    'and ran once according to the journal',
    runs.length === 1,
    runs,
  );
}

/**
 * Waits until new keys count as younger than the proxies. A key holder cannot
 * know whether a call with an older key ran before its own start.
 */
async function waitForKeysAfterStart(fleet: Fleet): Promise<void> {
  const startedAt = fleet.startedAt;
  await waitUntil('new keys to be younger than the proxies', () => {
    return Date.now() > startedAt + CLOCK_SKEW_MS;
  });
}
