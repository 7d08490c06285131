/**
 * Simulates an overload that lasts: demand is above what the slots of one
 * upstream can run, refused callers return once after the advised delay, and run
 * times scatter. Replays it on the decisions of entry and owner.
 */
import {
  CallerBudgets,
  recordCallerBudget,
} from '../../src/core/mesh/caller_budgets.js';
import {
  createFinishErrors,
  getFinishMarginMs,
  recordFinish,
} from '../../src/core/mesh/finish_errors.js';
import {
  createRunEstimates,
  recordRunTime,
} from '../../src/core/mesh/run_estimates.js';
import {
  getRetryAfterMs,
  removeUnservable,
  tryEnqueue,
} from '../../src/core/mesh/overload_admission.js';
import {
  QueuedAttempt,
  createWorkQueue,
  tryStartNext,
} from '../../src/core/mesh/work_queue.js';
import {SeededRandom} from '../../src/experiments/seeded_random.js';
import {expect} from '../support/chai_setup.js';
import {createAttempt} from './mesh_fixture.js';

const SLOTS = 6;
const AIM_MS = 400;
const BUDGET_MS = 1_500;
const MEAN_RUN_MS = 150;
const DURATION_MS = 30_000;

interface Options {
  readonly callsPerSecond: number;
  /** Whether the entry tells returning callers from first tries. */
  readonly knowsReturns: boolean;
  /** Mean run time of the upstream. */
  readonly runMs?: number;
}

interface Caller {
  readonly firstAt: number;
  /** Times at which it may still ask. */
  tries: number;
}

interface Totals {
  callers: number;
  inAim: number;
  late: number;
  /** Callers that waited in the queue on their last try, and got no slot. */
  heldInVain: number;
}

/** Plays the load and counts how the callers fared. */
function simulate({
  callsPerSecond,
  knowsReturns,
  runMs = MEAN_RUN_MS,
}: Options): Totals {
  const random = new SeededRandom(7);
  const work = createWorkQueue();
  const estimates = createRunEstimates();
  const budgets: CallerBudgets = new Map();
  const totals: Totals = {callers: 0, inAim: 0, late: 0, heldInVain: 0};
  const callerByAttempt = new Map<string, Caller>();
  const due: Array<{at: number; run: () => void}> = [];
  let now = 0;
  let nextId = 1;

  const after = (ms: number, run: () => void) => due.push({at: now + ms, run});
  const refuse = (attemptId: string, retryAfterMs: number) => {
    const caller = callerByAttempt.get(attemptId)!;
    if (caller.tries > 0) {
      after(retryAfterMs * (1 + random.getFraction() / 2), () => ask(caller));
    }
  };
  const finish = (queued: QueuedAttempt, tookMs: number) => {
    const {attempt} = queued;
    work.running.delete(attempt.attemptId);
    recordRunTime(estimates, attempt, tookMs);
    const errorMs = now - (queued.expectedEndAt ?? now);
    recordFinish(work.finishErrors, attempt.routeAimMs, errorMs);
    const caller = callerByAttempt.get(attempt.attemptId)!;
    const isInAim = now - caller.firstAt <= AIM_MS;
    totals.inAim += Number(isInAim);
    totals.late += Number(!isInAim);
    dispatch();
  };
  const dispatch = () => {
    for (const {queued} of removeUnservable(work, estimates, SLOTS, now)) {
      const {tries} = callerByAttempt.get(queued.attempt.attemptId)!;
      totals.heldInVain += Number(tries === 0);
      const retryAfterMs = getRetryAfterMs(work, estimates, SLOTS, now);
      refuse(queued.attempt.attemptId, retryAfterMs);
    }
    for (;;) {
      const next = tryStartNext(work, estimates, SLOTS, now);
      if (next === undefined) {
        return;
      }
      const tookMs = runMs * (0.5 + random.getFraction());
      after(tookMs, () => finish(next, tookMs));
    }
  };
  const ask = (caller: Caller) => {
    caller.tries -= 1;
    const timeoutMs = BUDGET_MS - (now - caller.firstAt);
    const known = recordCallerBudget(budgets, 'read', timeoutMs);
    const aimMs = AIM_MS - (knowsReturns ? known : 0);
    const attemptId = `a-${nextId++}`;
    callerByAttempt.set(attemptId, caller);
    const queued = {
      attempt: createAttempt({attemptId, aimMs, timeoutMs}),
      arrivedAt: now,
      aimAt: now + aimMs,
      deadlineAt: now + timeoutMs,
      callerSeenAt: Infinity,
      suspect: false,
    };
    const refusal = tryEnqueue(work, estimates, SLOTS, queued, now);
    if (refusal !== undefined) {
      refuse(attemptId, refusal.retryAfterMs);
    }
    dispatch();
  };

  for (let at = 0; at < DURATION_MS; at += 1_000 / callsPerSecond) {
    due.push({
      at: at + random.getFraction() * 20,
      run: () => {
        totals.callers += 1;
        ask({firstAt: now, tries: 2});
      },
    });
  }
  while (due.length > 0) {
    due.sort((a, b) => a.at - b.at);
    const next = due.shift()!;
    now = next.at;
    next.run();
  }
  return totals;
}

/** What the slots can run in the whole time. */
const CAPACITY = (DURATION_MS / MEAN_RUN_MS) * SLOTS;

describe('returning callers in an overload that lasts', () => {
  it('spends the slots on callers that can still be answered in time', () => {
    const {inAim, late} = simulate({callsPerSecond: 60, knowsReturns: true});
    expect(inAim).to.be.above(CAPACITY * 0.95);
    expect(inAim + late).to.be.above(CAPACITY * 0.95);
  });

  it('refuses at once whom no slot will be left for', () => {
    const totals = simulate({callsPerSecond: 60, knowsReturns: true});
    expect(totals.heldInVain).to.be.below(totals.callers * 0.02);
  });

  it('answers fewer in time where returning callers count as new', () => {
    const known = simulate({callsPerSecond: 60, knowsReturns: true});
    const unknown = simulate({callsPerSecond: 60, knowsReturns: false});
    expect(known.inAim).to.be.above(unknown.inAim * 1.2);
  });

  it('answers nearly all callers where demand is just below capacity', () => {
    const totals = simulate({callsPerSecond: 36, knowsReturns: true});
    expect(totals.inAim + totals.late).to.be.above(totals.callers * 0.98);
  });
});

describe('an upstream that is too slow to answer in time', () => {
  it('has its slots in use while callers ask', () => {
    const runMs = 420;
    const capacity = (DURATION_MS / runMs) * SLOTS;
    const options = {callsPerSecond: 40, knowsReturns: true, runMs};
    const {inAim, late} = simulate(options);
    expect(inAim + late).to.be.above(capacity * 0.95);
  });
});

describe('caller budgets', () => {
  it('count a smaller budget as time that was spent before', () => {
    const budgets: CallerBudgets = new Map();
    const stated = [1_500, 1_495, 1_100, 1_500, undefined, 600];
    const spent = stated.map(ms =>
      Math.round(recordCallerBudget(budgets, 'read', ms)),
    );
    expect(spent).to.deep.equal([0, 0, 397, 0, 0, 899]);
  });

  it('follow callers that begin to state shorter budgets', () => {
    const budgets: CallerBudgets = new Map();
    recordCallerBudget(budgets, 'read', 1_500);
    const spent: number[] = [];
    for (let n = 0; n < 1_000; n += 1) {
      spent.push(recordCallerBudget(budgets, 'read', 1_000));
    }
    expect(spent.at(-1)).to.equal(0);
  });
});

describe('finish errors', () => {
  /** Records alternating errors and returns the learnt margin. */
  function learn(errorsMs: readonly number[]): number {
    const errors = createFinishErrors();
    for (let n = 0; n < 2_000; n += 1) {
      recordFinish(errors, AIM_MS, errorsMs[n % errorsMs.length]);
    }
    return getFinishMarginMs(errors, AIM_MS);
  }

  it('need no margin where estimates are right or too late', () => {
    expect(learn([0, -20, -100])).to.be.below(10);
  });

  it('need a margin that covers nearly all late ends', () => {
    expect(learn([-60, -20, 20, 60])).to.be.within(50, 75);
  });

  it('bound the margin, so that some attempts are always admitted', () => {
    expect(learn([5_000])).to.equal(AIM_MS * 0.4);
  });
});
