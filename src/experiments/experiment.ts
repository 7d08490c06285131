/** Some entries and the owners of one service, wired to fakes. */
import {Answer, Effect} from '../core/types.js';
import {Policy} from '../core/policy.js';
import {Service, Submission} from '../model/config.js';
import {Attempt, PeerRequest} from '../model/peer.js';
import {Chance} from './chance.js';
import {FakeUpstream} from './fake_upstream.js';
import {CallRecord} from './measures.js';
import {SimulatedProxy} from './simulated_proxy.js';
import {VirtualClock} from './virtual_clock.js';

export const START_MS = 1_700_000_000_000;
export const ZONES = ['zilina-a', 'zilina-b', 'martin-c'] as const;
export const OWNER_COUNT = 6;
export const SLOTS = 6;

/** Entries among which the calls are spread evenly. */
export const DEFAULT_ENTRIES = 48;

export const MEAN_WORK_MS = 100;

/** Calls that the whole service can run, a second. */
export const CAPACITY = (OWNER_COUNT * SLOTS * 1_000) / MEAN_WORK_MS;

const SAME_ZONE_DELAY_MS = 0.3;
const OTHER_ZONE_DELAY_MS = 1;
/** Time after which an unanswered control message counts as failed. */
const PEER_TIMEOUT_MS = 500;
const INTERACTIVE_TIMEOUT_MS = 1_000;
const BATCH_TIMEOUT_MS = 4_000;
const BATCH_SHARE = 0.25;
const CHARGE_SHARE = 0.1;
/** Retries that plain retries have at hand at any time. */
const ENOUGH_RETRIES = 20;

const OK: Answer = {
  kind: 'answer',
  status: 200,
  headers: {},
  body: new Uint8Array(0),
};

/** What a comparison varies. */
export interface Candidate {
  readonly name: string;
  readonly policy: Policy;
  readonly service?: Partial<Service>;
  /** Retries cost nothing, as with a plain retry loop. */
  readonly hasEndlessRetries?: boolean;
}

export class Experiment {
  readonly clock = new VirtualClock(START_MS);
  readonly upstreams: FakeUpstream[] = [];
  readonly owners: SimulatedProxy[] = [];
  readonly entries: SimulatedProxy[] = [];
  readonly records: CallRecord[] = [];
  /** Offered calls a second. */
  demand = 0;
  /** A zone that nothing reaches from outside. */
  cutZone?: string;
  /** The only zone whose entries get calls. */
  hotZone?: string;
  private readonly byAddress = new Map<string, SimulatedProxy>();
  private readonly upstreamOf = new Map<SimulatedProxy, FakeUpstream>();
  private readonly open = new Map<string, CallRecord>();
  private readonly attempts = new Map<string, SimulatedProxy>();
  private readonly requests = new Map<string, (reply: never) => void>();
  private readonly arrivals: Chance;
  private readonly submission: Submission;
  private requestCount = 0;

  /**
   * @param candidate - What is compared.
   * @param seed - Two experiments with the same seed get the same calls.
   * @param entryCount - Entries; the more, the older are their load reports.
   */
  constructor(
    private readonly candidate: Candidate,
    seed: number,
    entryCount = DEFAULT_ENTRIES,
  ) {
    this.arrivals = new Chance(seed);
    const places = createPlaces('desk', OWNER_COUNT, 7_001);
    this.submission = createSubmission(places, candidate.service ?? {});
    const seeds = places.map(({peerAddress}) => peerAddress);
    const callers = createPlaces('caller', entryCount, 7_101);
    [...places, ...callers].forEach((place, n) => {
      const proxy = new SimulatedProxy(
        place,
        seeds.filter(address => address !== place.peerAddress),
        candidate.policy,
        this.clock,
        new Chance(seed * 1_000 + n),
        (from, effect) => this.perform(from, effect),
      );
      this.byAddress.set(place.peerAddress, proxy);
      if (n < OWNER_COUNT) {
        const upstream = new FakeUpstream(this.clock);
        this.owners.push(proxy);
        this.upstreams.push(upstream);
        this.upstreamOf.set(proxy, upstream);
      } else {
        this.entries.push(proxy);
      }
    });
    [...this.owners, ...this.entries].forEach(proxy => proxy.start());
    this.planArrival();
  }

  /** Runs on for a time. */
  run(durationMs: number): void {
    this.clock.runUntil(this.clock.now + durationMs);
  }

  private planArrival(): void {
    // At rest it looks for new demand often enough.
    const {demand, clock, arrivals} = this;
    const gapMs = demand > 0 ? arrivals.getExponential(1_000 / demand) : 10;
    clock.plan(clock.now + gapMs, () => {
      if (demand > 0) {
        this.arrive();
      }
      this.planArrival();
    });
  }

  private arrive(): void {
    const {arrivals, clock} = this;
    const kind = arrivals.getShare();
    const entry = this.chooseEntry(arrivals.getShare());
    const workMs = arrivals.getExponential(MEAN_WORK_MS);
    const isBatch = kind < BATCH_SHARE;
    const isCharge = kind > 1 - CHARGE_SHARE;
    const callId = `c${this.records.length}`;
    const record: CallRecord = {
      at: clock.now,
      zone: entry.place.zone,
      isBatch,
      workMs,
      attempts: 0,
      localAttempts: 0,
      result: 'open',
      tookMs: 0,
    };
    this.records.push(record);
    this.open.set(callId, record);
    if (this.candidate.hasEndlessRetries === true) {
      entry.state.entry.budgets.set('desk', ENOUGH_RETRIES);
    }
    entry.post({
      kind: 'callArrived',
      callId,
      call: {
        method: isCharge ? 'POST' : 'GET',
        host: 'desk',
        path: isBatch ? '/batch' : '/plan',
        fingerprint: callId,
        isRetriedByOuterCall: false,
      },
    });
  }

  private chooseEntry(share: number): SimulatedProxy {
    const {entries, hotZone} = this;
    const near =
      hotZone === undefined
        ? entries
        : entries.filter(({place}) => place.zone === hotZone);
    return near[Math.floor(share * near.length)];
  }

  private perform(from: SimulatedProxy, effect: Effect): void {
    const {clock} = this;
    switch (effect.kind) {
      case 'watchSource':
        return this.watchSource(from, effect.afterSequence, effect.waitMs);
      case 'askPeer':
        return this.askPeer(from, effect.address, effect.request);
      case 'replyPeer':
        return this.requests.get(effect.requestId)?.(effect.reply as never);
      case 'sendAttempt':
        return this.sendAttempt(from, effect);
      case 'cancelAttempt':
        return;
      case 'answerCall':
        return this.noteAnswer(effect);
      case 'dispatch': {
        const {attemptId, timeoutMs} = effect;
        const record = this.open.get(getCallId(attemptId));
        this.upstreamOf
          .get(from)
          ?.run(attemptId, record?.workMs ?? 0, timeoutMs, failure =>
            from.post(
              failure === undefined
                ? {kind: 'upstreamAnswered', attemptId, answer: OK}
                : {kind: 'upstreamFailed', attemptId, failure},
            ),
          );
        return;
      }
      case 'abortDispatch':
        return this.upstreamOf.get(from)?.cancel(effect.attemptId);
      case 'finishAttempt': {
        const {attemptId, result, load} = effect;
        const entry = this.attempts.get(attemptId);
        if (entry !== undefined && !this.isCut(from, entry)) {
          clock.plan(clock.now + getDelayMs(from, entry), () => {
            if (this.attempts.delete(attemptId)) {
              entry.post({kind: 'attemptAnswered', attemptId, result, load});
            }
          });
        }
        return;
      }
      default:
        return;
    }
  }

  private watchSource(
    from: SimulatedProxy,
    afterSequence: number,
    waitMs: number,
  ): void {
    const submissions = afterSequence === 0 ? [this.submission] : [];
    const delayMs = submissions.length > 0 ? 1 : waitMs;
    this.clock.plan(this.clock.now + delayMs, () =>
      from.post({kind: 'sourceAnswered', head: 1, submissions}),
    );
  }

  private askPeer(
    from: SimulatedProxy,
    address: string,
    request: PeerRequest,
  ): void {
    const {clock} = this;
    const to = this.byAddress.get(address);
    if (to === undefined || this.isCut(from, to)) {
      clock.plan(clock.now + PEER_TIMEOUT_MS, () =>
        from.post({kind: 'peerFailed', address, request}),
      );
      return;
    }
    this.requestCount += 1;
    const requestId = `r${this.requestCount}`;
    const delayMs = getDelayMs(from, to);
    this.requests.set(requestId, reply => {
      this.requests.delete(requestId);
      clock.plan(clock.now + delayMs, () =>
        from.post({kind: 'peerReplied', address, request, reply}),
      );
    });
    clock.plan(clock.now + delayMs, () =>
      to.post({kind: 'peerAsked', requestId, request}),
    );
  }

  private sendAttempt(
    from: SimulatedProxy,
    effect: Extract<Effect, {kind: 'sendAttempt'}>,
  ): void {
    const {clock} = this;
    const {address, callId} = effect;
    const {attemptId, timeoutMs} = effect.attempt;
    // The experiment keeps the clock whole, so the attempt may be sent as is.
    const attempt: Attempt = effect.attempt;
    const to = this.byAddress.get(address);
    const record = this.open.get(callId);
    if (record !== undefined) {
      record.attempts += 1;
      record.localAttempts += to?.place.zone === record.zone ? 1 : 0;
    }
    this.attempts.set(attemptId, from);
    if (to !== undefined && !this.isCut(from, to)) {
      clock.plan(clock.now + getDelayMs(from, to), () =>
        to.post({kind: 'attemptArrived', attempt}),
      );
    }
    clock.plan(clock.now + timeoutMs, () => {
      if (this.attempts.delete(attemptId)) {
        from.post({kind: 'attemptFailed', attemptId, failure: 'timeout'});
        to?.post({kind: 'attemptCancelled', attemptId});
      }
    });
  }

  private isCut(a: SimulatedProxy, b: SimulatedProxy): boolean {
    const {cutZone} = this;
    return (
      a.place.zone !== b.place.zone &&
      (a.place.zone === cutZone || b.place.zone === cutZone)
    );
  }

  private noteAnswer(effect: Extract<Effect, {kind: 'answerCall'}>): void {
    const record = this.open.get(effect.callId);
    if (record === undefined) {
      return;
    }
    this.open.delete(effect.callId);
    record.tookMs = this.clock.now - record.at;
    record.result =
      effect.result.kind === 'answer' ? 'answered' : effect.result.outcome;
  }
}

function getCallId(attemptId: string): string {
  return attemptId.slice(0, attemptId.lastIndexOf('.'));
}

function getDelayMs(a: SimulatedProxy, b: SimulatedProxy): number {
  return a.place.zone === b.place.zone
    ? SAME_ZONE_DELAY_MS
    : OTHER_ZONE_DELAY_MS;
}

function createPlaces(prefix: string, count: number, firstPort: number) {
  return Array.from({length: count}, (_, n) => ({
    id: `${prefix}-${n + 1}`,
    zone: ZONES[n % ZONES.length],
    peerAddress: `127.0.0.1:${firstPort + n}`,
  }));
}

function createSubmission(
  places: ReturnType<typeof createPlaces>,
  service: Partial<Service>,
): Submission {
  const route = {
    service: 'desk',
    pathPrefix: '/plan',
    timeoutMs: INTERACTIVE_TIMEOUT_MS,
  };
  return {
    sequence: 1,
    id: 'experiment',
    base: 0,
    publishedAt: START_MS,
    patch: {
      services: {desk: {slots: SLOTS, connections: 120, ...service}},
      upstreams: Object.fromEntries(
        places.map(({id, zone, peerAddress}) => [
          id,
          {service: 'desk', region: 'centre', zone, peerAddress},
        ]),
      ),
      routes: {
        plan: route,
        batch: {
          ...route,
          pathPrefix: '/batch',
          timeoutMs: BATCH_TIMEOUT_MS,
          priority: 'batch',
        },
      },
    },
  };
}
