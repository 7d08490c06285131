/**
 * Planned stops of an entry and of the owner that it asks, which overlap by any time.
 * Real cores on one clock; runs take up to their whole deadline.
 */
import {MeshEffect} from '../../src/core/mesh/mesh_types.js';
import {expect} from '../support/chai_setup.js';
import {
  MeshFixture,
  createConfig,
  createHello,
  createInstance,
  createRoute,
  createUpstreamAnswer,
} from './mesh_fixture.js';

const ENTRY = '10.0.0.1:7000';
const OWNER = '10.0.0.2:7000';

const TICK_MS = 25;
const LINK_MS = 1;
const FINAL_WRITES_MS = 150;

/** Between the stops of entry and owner, and between two calls. */
const STEP_MS = 100;
const ENTRY_STOPS_AT_MS = 9_000;
const MAX_OFFSET_MS = 6_000;

/** Calls that were sent later than this after the begin of a stop must not be cut. */
const EXCUSED_MS = 3_000;

/** Lasts longer than any grace period. */
const LONG_BUDGET_MS = 8_000;

interface Result {
  readonly budgetMs: number;
  readonly sentAfterMs: number;
  readonly workMs: number;
  isRun: boolean;
  outcome?: string;
}

/** An entry without an upstream, and the only owner of its service. */
class StoppingPair {
  readonly results = new Map<string, Result>();
  private readonly entry = new MeshFixture({upstreamAddress: '10.0.0.1:9999'});
  private readonly owner = new MeshFixture({
    address: OWNER,
    upstreamAddress: '10.0.0.2:8000',
  });
  private readonly gone = new Set<MeshFixture>();
  private readonly timers: Array<{at: number; run: () => void}> = [];
  private readonly startedAt: number;

  constructor(ownerStopsAtMs: number) {
    const routes = [createRoute({timeoutMs: LONG_BUDGET_MS})];
    for (const proxy of [this.entry, this.owner]) {
      proxy.loadFromSource(
        [createInstance(2, {slots: 1_000})],
        createConfig(1, routes),
      );
    }
    this.greet(this.entry, OWNER);
    this.greet(this.owner, ENTRY);
    this.startedAt = this.entry.at;
    this.after(ENTRY_STOPS_AT_MS, () => this.stop(this.entry));
    this.after(ownerStopsAtMs, () => this.stop(this.owner));
  }

  private greet(proxy: MeshFixture, from: string): void {
    const message = createHello({address: from});
    this.post(proxy, {kind: 'messageReceived', from, message});
  }

  private stop(proxy: MeshFixture): void {
    this.post(proxy, {kind: 'stopRequested'});
  }

  private after(ms: number, run: () => void): void {
    this.timers.push({at: this.entry.at + ms, run});
  }

  private post(
    proxy: MeshFixture,
    event: Parameters<MeshFixture['post']>[0],
  ): void {
    if (!this.gone.has(proxy)) {
      proxy.post(event).forEach(effect => this.perform(proxy, effect));
    }
  }

  private perform(proxy: MeshFixture, effect: MeshEffect): void {
    const other = proxy === this.entry ? this.owner : this.entry;
    switch (effect.kind) {
      case 'sendAttempt': {
        const {attempt} = effect;
        const {attemptId} = attempt;
        if (this.gone.has(other)) {
          const lost = {kind: 'attemptLost', attemptId, sent: false} as const;
          return this.after(LINK_MS, () => this.post(proxy, lost));
        }
        return this.after(LINK_MS, () =>
          this.post(other, {
            kind: 'attemptArrived',
            attempt,
            ageMs: LINK_MS,
            unconfirmedMs: 0,
          }),
        );
      }
      case 'cancelAttempt': {
        const {attemptId} = effect;
        return this.after(LINK_MS, () =>
          this.post(other, {kind: 'attemptCancelled', attemptId}),
        );
      }
      case 'sendMessage': {
        const {message} = effect;
        const from = proxy === this.entry ? ENTRY : OWNER;
        return this.after(LINK_MS, () =>
          this.post(other, {kind: 'messageReceived', from, message}),
        );
      }
      case 'dispatch':
        return this.run(effect.attemptId, effect.timeoutMs);
      case 'abortDispatch': {
        const {attemptId} = effect;
        const failure = 'timeout';
        const event = {kind: 'upstreamFailed', attemptId, failure} as const;
        return this.after(0, () => this.post(this.owner, event));
      }
      case 'finishAttempt': {
        const {attemptId, outcome} = effect;
        const event = {kind: 'attemptEnded', attemptId, outcome} as const;
        return this.after(LINK_MS, () => this.post(this.entry, event));
      }
      case 'answerCall': {
        const {callId, result} = effect;
        this.results.get(callId)!.outcome =
          result.kind === 'answer' ? 'answered' : result.reason;
        return;
      }
      case 'stopped':
        return this.after(FINAL_WRITES_MS, () => this.end(proxy));
      default:
        return;
    }
  }

  /** Ends a process; the attempts that it runs are lost. */
  private end(proxy: MeshFixture): void {
    this.gone.add(proxy);
    if (proxy === this.owner) {
      for (const attemptId of this.owner.state.work.running.keys()) {
        this.post(this.entry, {kind: 'attemptLost', attemptId, sent: true});
      }
      this.post(this.entry, {kind: 'linkClosed', address: OWNER});
    }
  }

  private run(attemptId: string, timeoutMs: number): void {
    const result = this.results.get(attemptId.split('.')[0])!;
    result.isRun = true;
    const {workMs} = result;
    this.after(Math.min(workMs, timeoutMs), () =>
      this.post(
        this.owner,
        workMs < timeoutMs
          ? createUpstreamAnswer(attemptId)
          : {kind: 'upstreamFailed', attemptId, failure: 'timeout'},
      ),
    );
  }

  /** Sends calls at all times, each with its own budget and duration of its run. */
  play(): void {
    const endsAt = this.startedAt + ENTRY_STOPS_AT_MS + 2 * MAX_OFFSET_MS;
    const budgets = [600, 1_200, 2_500, LONG_BUDGET_MS];
    let nextCallAt = this.startedAt;
    let count = 0;
    while (this.entry.at < endsAt) {
      this.entry.at += TICK_MS;
      this.owner.at = this.entry.at;
      for (let n = 0; n < this.timers.length; n += 1) {
        if (this.timers[n].at <= this.entry.at) {
          const [{run}] = this.timers.splice(n, 1);
          n = -1;
          run();
        }
      }
      const linkBytes = {received: 0, sent: 0, waiting: []};
      this.post(this.entry, {kind: 'tick', linkBytes});
      this.post(this.owner, {kind: 'tick', linkBytes});
      for (; nextCallAt <= this.entry.at; nextCallAt += STEP_MS) {
        for (const budgetMs of budgets) {
          // Most runs are short; one in five takes most of its budget.
          const share = count % 5 === 0 ? 0.9 : 0.05;
          this.call(`c${count}`, budgetMs, budgetMs * share);
          count += 1;
        }
      }
    }
  }

  private call(callId: string, budgetMs: number, workMs: number): void {
    const sentAfterMs = this.entry.at - this.startedAt - ENTRY_STOPS_AT_MS;
    this.results.set(callId, {budgetMs, sentAfterMs, workMs, isRun: false});
    if (!this.gone.has(this.entry)) {
      const call = {
        requestId: `r-${callId}`,
        parentId: undefined,
        host: 'shop.example',
        path: '/read/1',
        timeoutMs: budgetMs,
        bodyBytes: 0,
        fingerprint: callId,
      };
      this.post(this.entry, {kind: 'callArrived', callId, call});
    }
  }
}

/** Describes the calls that ran, had time left, and got no answer. */
function findCut(pair: StoppingPair): string[] {
  return [...pair.results.values()]
    .filter(({isRun, outcome}) => isRun && outcome !== 'answered')
    .filter(
      ({budgetMs, sentAfterMs}) =>
        budgetMs < LONG_BUDGET_MS || sentAfterMs > EXCUSED_MS,
    )
    .map(
      ({budgetMs, workMs, sentAfterMs, outcome}) =>
        `sent ${sentAfterMs} ms after the entry's stop, budget ${budgetMs} ms, ` +
        `work ${workMs} ms: ${outcome}`,
    );
}

describe('planned stops of entry and owner', () => {
  // Guards against LOST: a run that is under way is cut by the end of a stop.
  for (
    let offsetMs = -MAX_OFFSET_MS;
    offsetMs <= MAX_OFFSET_MS;
    offsetMs += 1_000
  ) {
    it(`cut no run, with ${offsetMs} to ${offsetMs + 900} ms between them`, () => {
      for (let ms = offsetMs; ms < offsetMs + 1_000; ms += STEP_MS) {
        const pair = new StoppingPair(ENTRY_STOPS_AT_MS + ms);
        pair.play();
        expect(findCut(pair), `${ms} ms between the stops`).to.deep.equal([]);
        const runs = [...pair.results.values()].filter(({isRun}) => isRun);
        expect(runs.length).to.be.above(200);
      }
    });
  }
});
