/**
 * Replays the load at its worst against the queue of one upstream: three
 * routes ask for twice what its slots can run, as on the users' busy days.
 */
import {MeshAttempt} from '../../src/model/mesh.js';
import {
  createRunEstimates,
  estimateRunMs,
} from '../../src/core/mesh/run_estimates.js';
import {
  createWorkQueue,
  removeUnservable,
  tryEnqueue,
  tryStartNext,
} from '../../src/core/mesh/work_queue.js';
import {expect} from '../support/chai_setup.js';
import {createAttempt} from './mesh_fixture.js';

const SLOTS = 9;
const SECONDS = 20;

interface Route {
  readonly name: string;
  readonly perSecond: number;
  readonly aimMs: number;
  readonly priority: number;
  /** Made by runs elsewhere, which fail without its answer. */
  readonly nested?: boolean;
}

/** Two times the slots' capacity, by the estimates. */
const ROUTES: readonly Route[] = [
  {name: 'charge', perSecond: 20, aimMs: 250, priority: 0},
  {name: 'change', perSecond: 15, aimMs: 500, priority: 1},
  {name: 'view', perSecond: 95, aimMs: 400, priority: 2},
];

/** The same load of which a part is made by other upstreams' runs. */
const NESTED_ROUTES: readonly Route[] = [
  {name: 'charge', perSecond: 20, aimMs: 250, priority: 0},
  {name: 'view', perSecond: 95, aimMs: 400, priority: 2},
  {name: 'lookup', perSecond: 60, aimMs: 120, priority: 2, nested: true},
];

interface RouteCounts {
  offered: number;
  inAim: number;
  late: number;
  /** Longest time after which one was refused, in milliseconds. */
  longestRefusalMs: number;
}

function simulate(routes: readonly Route[]): Map<string, RouteCounts> {
  const work = createWorkQueue();
  const estimates = createRunEstimates();
  const tallies = new Map<string, RouteCounts>();
  const ends: Array<{at: number; attemptId: string}> = [];
  const arrivedAt = new Map<string, number>();
  const getTally = (route: string): RouteCounts => {
    const tally = tallies.get(route) ?? {
      offered: 0,
      inAim: 0,
      late: 0,
      longestRefusalMs: 0,
    };
    tallies.set(route, tally);
    return tally;
  };
  const refuse = ({attemptId, route}: MeshAttempt, at: number) => {
    const tally = getTally(route);
    const heldMs = at - (arrivedAt.get(attemptId) ?? at);
    tally.longestRefusalMs = Math.max(tally.longestRefusalMs, heldMs);
  };
  const start = (at: number) => {
    removeUnservable(work, estimates, at).forEach(q => refuse(q.attempt, at));
    for (;;) {
      const run = tryStartNext(work, estimates, SLOTS, at);
      if (run === undefined) {
        return;
      }
      const {attemptId} = run.attempt;
      ends.push({at: at + estimateRunMs(estimates, run.attempt), attemptId});
    }
  };
  for (let at = 0; at < SECONDS * 1_000; at += 1) {
    for (const end of ends.filter(e => e.at <= at)) {
      ends.splice(ends.indexOf(end), 1);
      const run = work.running.get(end.attemptId);
      work.running.delete(end.attemptId);
      if (run !== undefined) {
        const tally = getTally(run.attempt.route);
        const isInAim = at <= run.aimAt;
        tally.inAim += Number(isInAim);
        tally.late += Number(!isInAim);
      }
    }
    start(at);
    for (const route of routes) {
      const every = 1_000 / route.perSecond;
      if (Math.floor(at / every) !== Math.floor((at - 1) / every)) {
        const {name, aimMs, priority, nested} = route;
        const timeoutMs = aimMs * 3;
        const ownAimMs = nested === true ? timeoutMs : aimMs;
        const attempt = createAttempt({
          attemptId: `${name}-${at}`,
          route: name,
          aimMs: ownAimMs,
          routeAimMs: aimMs,
          timeoutMs,
          priority,
          nested,
        });
        getTally(name).offered += 1;
        arrivedAt.set(attempt.attemptId, at);
        const queued = {
          attempt,
          arrivedAt: at,
          aimAt: at + ownAimMs,
          deadlineAt: at + timeoutMs,
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
  return tallies;
}

describe('mesh overload', () => {
  const tallies = simulate(ROUTES);
  const getShare = (route: string) => {
    const {inAim, offered} = tallies.get(route)!;
    return inAim / offered;
  };

  it('serves the most urgent routes in their aims', () => {
    expect(getShare('charge')).to.be.above(0.95);
    expect(getShare('change')).to.be.above(0.9);
  });

  it('uses what is left for the least urgent, in its aim too', () => {
    // The urgent routes need 4.4 of 9 slots; the others' calls need 13.3.
    const possible = (SLOTS - 4.4) / 13.3;
    const {inAim, late} = tallies.get('view')!;
    expect(getShare('view')).to.be.above(possible * 0.85);
    expect(late).to.be.below(inAim / 10);
  });

  it('refuses early what it cannot serve', () => {
    for (const {longestRefusalMs} of tallies.values()) {
      expect(longestRefusalMs).to.be.at.most(400);
    }
  });

  it('refuses nothing that a run elsewhere waits for', () => {
    const {inAim, late, offered} = simulate(NESTED_ROUTES).get('lookup')!;
    expect((inAim + late) / offered).to.be.above(0.99);
  });
});
