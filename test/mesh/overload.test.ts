/**
 * Simulates peak load on the queue of one upstream: three routes ask for twice
 * what its slots can run, as on the users' busy days.
 */
import {MeshAttempt} from '../../src/model/mesh.js';
import {
  createRunEstimates,
  estimateRunMs,
} from '../../src/core/mesh/run_estimates.js';
import {
  removeUnservable,
  tryEnqueue,
} from '../../src/core/mesh/overload_admission.js';
import {createWorkQueue, tryStartNext} from '../../src/core/mesh/work_queue.js';
import {expect} from '../support/chai_setup.js';
import {createAttempt} from './mesh_fixture.js';

const SLOTS = 9;
const DURATION_SECONDS = 20;

interface Route {
  readonly name: string;
  readonly perSecond: number;
  readonly aimMs: number;
  readonly priority: number;
  /** Sent by runs at other upstreams, which fail without the answer. */
  readonly nested?: boolean;
}

/** Twice the capacity of the slots, by the estimated run times. */
const ROUTES: readonly Route[] = [
  {name: 'charge', perSecond: 20, aimMs: 250, priority: 0},
  {name: 'change', perSecond: 15, aimMs: 500, priority: 1},
  {name: 'view', perSecond: 95, aimMs: 400, priority: 2},
];

/** The same load, part of which is sent by runs at other upstreams. */
const NESTED_ROUTES: readonly Route[] = [
  {name: 'charge', perSecond: 20, aimMs: 250, priority: 0},
  {name: 'view', perSecond: 95, aimMs: 400, priority: 2},
  {name: 'lookup', perSecond: 60, aimMs: 120, priority: 2, nested: true},
];

/** The urgent route alone asks for a third more than the slots can run. */
const URGENT_ROUTES: readonly Route[] = [
  {name: 'charge', perSecond: 140, aimMs: 250, priority: 0},
  {name: 'view', perSecond: 30, aimMs: 400, priority: 2},
];

interface RouteCounts {
  offered: number;
  withinAim: number;
  late: number;
  /** Longest time from arrival to refusal, in milliseconds. */
  longestRefusalMs: number;
}

function simulate(
  routes: readonly Route[],
  guaranteesShare = false,
): Map<string, RouteCounts> {
  const work = createWorkQueue(guaranteesShare);
  const estimates = createRunEstimates();
  const countsByRoute = new Map<string, RouteCounts>();
  const runEnds: Array<{at: number; attemptId: string}> = [];
  const arrivedAt = new Map<string, number>();
  const getCounts = (route: string): RouteCounts => {
    const counts = countsByRoute.get(route) ?? {
      offered: 0,
      withinAim: 0,
      late: 0,
      longestRefusalMs: 0,
    };
    countsByRoute.set(route, counts);
    return counts;
  };
  const refuse = ({attemptId, route}: MeshAttempt, at: number) => {
    const counts = getCounts(route);
    const waitedMs = at - (arrivedAt.get(attemptId) ?? at);
    counts.longestRefusalMs = Math.max(counts.longestRefusalMs, waitedMs);
  };
  const start = (at: number) => {
    removeUnservable(work, estimates, SLOTS, at).forEach(q =>
      refuse(q.queued.attempt, at),
    );
    for (;;) {
      const run = tryStartNext(work, estimates, SLOTS, at);
      if (run === undefined) {
        return;
      }
      const {attemptId} = run.attempt;
      runEnds.push({at: at + estimateRunMs(estimates, run.attempt), attemptId});
    }
  };
  for (let at = 0; at < DURATION_SECONDS * 1_000; at += 1) {
    for (const end of runEnds.filter(e => e.at <= at)) {
      runEnds.splice(runEnds.indexOf(end), 1);
      const run = work.running.get(end.attemptId);
      work.running.delete(end.attemptId);
      if (run !== undefined) {
        const counts = getCounts(run.attempt.route);
        const isWithinAim = at <= run.aimAt;
        counts.withinAim += Number(isWithinAim);
        counts.late += Number(!isWithinAim);
      }
    }
    start(at);
    for (const route of routes) {
      const intervalMs = 1_000 / route.perSecond;
      if (Math.floor(at / intervalMs) !== Math.floor((at - 1) / intervalMs)) {
        const {name, aimMs, priority, nested} = route;
        const timeoutMs = aimMs * 3;
        const attemptAimMs = nested === true ? timeoutMs : aimMs;
        const attempt = createAttempt({
          attemptId: `${name}-${at}`,
          route: name,
          aimMs: attemptAimMs,
          routeAimMs: aimMs,
          timeoutMs,
          priority,
          nested,
        });
        getCounts(name).offered += 1;
        arrivedAt.set(attempt.attemptId, at);
        const queued = {
          attempt,
          arrivedAt: at,
          aimAt: at + attemptAimMs,
          deadlineAt: at + timeoutMs,
          callerSeenAt: Infinity,
          suspect: false,
        };
        const refusal = tryEnqueue(work, estimates, SLOTS, queued, at);
        if (refusal !== undefined) {
          refuse(attempt, at);
        }
        start(at);
      }
    }
  }
  return countsByRoute;
}

describe('mesh overload', () => {
  const countsByRoute = simulate(ROUTES);
  const getShare = (route: string) => {
    const {withinAim, offered} = countsByRoute.get(route)!;
    return withinAim / offered;
  };

  it('serves the most urgent routes within their aims', () => {
    expect(getShare('charge')).to.be.above(0.95);
    expect(getShare('change')).to.be.above(0.9);
  });

  it('uses the other slots for the least urgent route, within its aim', () => {
    // The urgent routes need 4.4 of 9 slots; the least urgent needs 13.3.
    const possible = (SLOTS - 4.4) / 13.3;
    const {withinAim, late} = countsByRoute.get('view')!;
    expect(getShare('view')).to.be.above(possible * 0.85);
    expect(late).to.be.below(withinAim / 10);
  });

  it('refuses early what it cannot serve', () => {
    for (const {longestRefusalMs} of countsByRoute.values()) {
      expect(longestRefusalMs).to.be.at.most(400);
    }
  });

  it('serves the least urgent route a quarter as often as all', () => {
    const counts = [...simulate(URGENT_ROUTES, true).values()];
    const offered = counts.reduce((sum, route) => sum + route.offered, 0);
    const served = counts.reduce((sum, c) => sum + c.withinAim + c.late, 0);
    const view = simulate(URGENT_ROUTES, true).get('view')!;
    const viewShare = (view.withinAim + view.late) / view.offered;
    expect(viewShare).to.be.within(
      (served / offered) * 0.25,
      (served / offered) * 0.5,
    );
  });

  it('refuses no attempt that a run at another upstream waits for', () => {
    const {withinAim, late, offered} = simulate(NESTED_ROUTES).get('lookup')!;
    expect((withinAim + late) / offered).to.be.above(0.99);
  });
});
