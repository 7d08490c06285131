/** Step of the demo: publishes a valid patch and two invalid ones. */
import {SubmissionOutcome} from '../model/fold_state.js';
import {describeResult} from '../standins/harness/load_generator.js';
import {ProxyStatus} from '../standins/harness/proxy_process.js';
import {DemoContext} from './context.js';
import {BILLING_SERVICE, DESK_SERVICE} from './demo_plan.js';

/** Paths whose results show which patches are in force. */
const PROBE_PATHS = ['/stock/1', '/plans/1', '/fine/1', '/lost/1'];

/**
 * Publishes a valid patch, one with a stale base and one with a route to a
 * service that does not exist.
 */
export async function publishPatches(demo: DemoContext): Promise<void> {
  const {fleet, report} = demo;
  report.startStep('One valid patch and two invalid ones');
  const stock = {pathPrefix: '/stock', service: DESK_SERVICE};
  const fine = {pathPrefix: '/fine', service: BILLING_SERVICE};
  const lost = {pathPrefix: '/lost', service: 'no-such-service'};
  await fleet.publish('add-stock', 1, {routes: {stock}});
  await fleet.publish('late', 1, {routes: {plans: null}});
  const last = await fleet.publish('dangling', 2, {routes: {fine, lost}});
  const statuses = await Promise.all(
    fleet.nodes.map(({proxy}) => proxy.waitForSequence(last)),
  );
  assertVerdicts(demo, statuses);
  await assertPatchesInForce(demo);
}

function assertVerdicts(
  {report}: DemoContext,
  statuses: readonly ProxyStatus[],
): void {
  const [first] = statuses;
  const outcomes = first.outcomes.slice(-3);
  outcomes.forEach(outcome => report.print(describeOutcome(outcome)));
  const kinds = outcomes.map(({verdict}) => verdict.kind);
  report.assert(
    'the first is accepted, the other two are refused',
    kinds.join() === 'accepted,refused,refused',
    outcomes,
  );
  report.assert(
    'every proxy holds version 2 with the same digest',
    statuses.every(s => s.version === 2 && s.digest === first.digest),
    statuses.map(({id, version, digest}) => ({id, version, digest})),
  );
}

function describeOutcome({id, verdict}: SubmissionOutcome): string {
  return verdict.kind === 'accepted'
    ? `${id}: accepted as version ${verdict.version}`
    : `${id}: refused, ${verdict.code}: ${verdict.detail}`;
}

async function assertPatchesInForce({
  fleet,
  report,
  caller,
}: DemoContext): Promise<void> {
  const results = new Set<string>();
  for (const path of PROBE_PATHS) {
    for (const {proxy} of fleet.nodes) {
      const call = {method: 'GET', path};
      const result = await caller.send(proxy.ports.callers, call);
      results.add(`${path} ${describeResult(result)}`);
    }
  }
  report.assert(
    'the valid patch is in force on every proxy, and no part of the others',
    [...results].join() ===
      '/stock/1 answered 200,/plans/1 answered 200,' +
        '/fine/1 not-run (no_route),/lost/1 not-run (no_route)',
    [...results],
  );
}
