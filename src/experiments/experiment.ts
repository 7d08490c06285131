/**
 * Simulation of entries and owners of one service: real decision cores on a
 * virtual clock, connected to fake upstreams.
 */
import {Answer, Effect} from '../core/types.js';
import {Policy} from '../core/policy.js';
import {Service, Submission} from '../model/config.js';
import {Attempt, PeerRequest} from '../model/peer.js';
import {SeededRandom} from './seeded_random.js';
import {FakeUpstream} from './fake_upstream.js';
import {CallRecord} from './measures.js';
import {SimulatedProxy} from './simulated_proxy.js';
import {VirtualClock} from './virtual_clock.js';

export const START_TIME_MS = 1_700_000_000_000;
export const ZONES = ['zilina-a', 'zilina-b', 'martin-c'] as const;
export const OWNER_COUNT = 6;
export const SLOTS_PER_OWNER = 6;

/** Number of entries; calls are spread evenly among them. */
export const DEFAULT_ENTRY_COUNT = 48;

/** Mean time that an upstream works on a call. */
export const MEAN_WORK_MS = 100;

/** Calls per second that the whole service can run. */
export const CAPACITY_PER_SECOND =
  (OWNER_COUNT * SLOTS_PER_OWNER * 1_000) / MEAN_WORK_MS;

/** One-way network delay. */
const SAME_ZONE_DELAY_MS = 0.3;
const OTHER_ZONE_DELAY_MS = 1;

/** Time after which an unanswered control message counts as failed. */
const PEER_TIMEOUT_MS = 500;

/** Timeouts of the routes. */
const INTERACTIVE_TIMEOUT_MS = 1_000;
const BATCH_TIMEOUT_MS = 4_000;

/** Fractions of the calls that are of batch priority and that are charges. */
const BATCH_FRACTION = 0.25;
const CHARGE_FRACTION = 0.1;

/** Value to which the retry budget is reset before each call. */
const UNLIMITED_RETRY_BUDGET = 20;

const OK_ANSWER: Answer = {
  kind: 'answer',
  status: 200,
  headers: {},
  body: new Uint8Array(0),
};

/** A policy to be compared with others. */
export interface Candidate {
  readonly name: string;
  readonly policy: Policy;
  readonly service?: Partial<Service>;
  /** Retries use up no budget, as in a plain retry loop. */
  readonly hasUnlimitedRetries?: boolean;
}

/** One run of a candidate; faults change its public fields. */
export class Experiment {
  readonly clock = new VirtualClock(START_TIME_MS);
  readonly upstreams: FakeUpstream[] = [];
  readonly owners: SimulatedProxy[] = [];
  readonly entries: SimulatedProxy[] = [];
  readonly records: CallRecord[] = [];
  offeredCallsPerSecond = 0;
  /** Zone that cannot communicate with the other zones, if any. */
  isolatedZone?: string;
  /** The only zone whose entries receive calls; all zones if undefined. */
  onlyCallerZone?: string;
  private readonly proxyByAddress = new Map<string, SimulatedProxy>();
  private readonly upstreamByOwner = new Map<SimulatedProxy, FakeUpstream>();
  private readonly open = new Map<string, CallRecord>();
  private readonly attempts = new Map<string, SimulatedProxy>();
  private readonly pendingReplies = new Map<string, (reply: never) => void>();
  private readonly arrivalRandom: SeededRandom;
  private readonly submission: Submission;
  private requestCount = 0;

  /**
   * @param candidate - The policy and service settings to run.
   * @param seed - Experiments with the same seed receive the same calls.
   * @param entryCount - Number of entries. With more entries, each receives
   * fewer calls, so its load reports are older.
   */
  constructor(
    private readonly candidate: Candidate,
    seed: number,
    entryCount = DEFAULT_ENTRY_COUNT,
  ) {
    this.arrivalRandom = new SeededRandom(seed);
    const ownerEndpoints = createEndpoints('desk', OWNER_COUNT, 7_001);
    this.submission = createSubmission(ownerEndpoints, candidate.service ?? {});
    const seeds = ownerEndpoints.map(({peerAddress}) => peerAddress);
    const entryEndpoints = createEndpoints('caller', entryCount, 7_101);
    [...ownerEndpoints, ...entryEndpoints].forEach((endpoint, n) => {
      const proxy = new SimulatedProxy(
        endpoint,
        seeds.filter(address => address !== endpoint.peerAddress),
        candidate.policy,
        this.clock,
        new SeededRandom(seed * 1_000 + n),
        (from, effect) => this.performEffect(from, effect),
      );
      this.proxyByAddress.set(endpoint.peerAddress, proxy);
      if (n < OWNER_COUNT) {
        const upstream = new FakeUpstream(this.clock);
        this.owners.push(proxy);
        this.upstreams.push(upstream);
        this.upstreamByOwner.set(proxy, upstream);
      } else {
        this.entries.push(proxy);
      }
    });
    [...this.owners, ...this.entries].forEach(proxy => proxy.start());
    this.scheduleArrival();
  }

  /** Continues the run for a duration of virtual time. */
  run(durationMs: number): void {
    this.clock.runUntil(this.clock.now + durationMs);
  }

  private scheduleArrival(): void {
    // Without calls, it polls so that a new rate takes effect soon.
    const {offeredCallsPerSecond, clock, arrivalRandom} = this;
    const gapMs =
      offeredCallsPerSecond > 0
        ? arrivalRandom.getExponential(1_000 / offeredCallsPerSecond)
        : 10;
    clock.schedule(clock.now + gapMs, () => {
      if (offeredCallsPerSecond > 0) {
        this.startCall();
      }
      this.scheduleArrival();
    });
  }

  private startCall(): void {
    const {arrivalRandom, clock} = this;
    const kindFraction = arrivalRandom.getFraction();
    const entry = this.chooseEntry(arrivalRandom.getFraction());
    const workMs = arrivalRandom.getExponential(MEAN_WORK_MS);
    const isBatch = kindFraction < BATCH_FRACTION;
    const isCharge = kindFraction > 1 - CHARGE_FRACTION;
    const callId = `c${this.records.length}`;
    const record: CallRecord = {
      at: clock.now,
      zone: entry.endpoint.zone,
      isBatch,
      workMs,
      attempts: 0,
      localAttempts: 0,
      result: 'open',
      tookMs: 0,
    };
    this.records.push(record);
    this.open.set(callId, record);
    if (this.candidate.hasUnlimitedRetries === true) {
      entry.state.entry.budgets.set('desk', UNLIMITED_RETRY_BUDGET);
    }
    entry.processEvent({
      kind: 'callArrived',
      callId,
      call: {
        method: isCharge ? 'POST' : 'GET',
        host: 'desk',
        path: isBatch ? '/batch' : '/plan',
        fingerprint: callId,
        retriedByOuter: false,
      },
    });
  }

  private chooseEntry(fraction: number): SimulatedProxy {
    const {entries, onlyCallerZone} = this;
    const candidates =
      onlyCallerZone === undefined
        ? entries
        : entries.filter(({endpoint}) => endpoint.zone === onlyCallerZone);
    return candidates[Math.floor(fraction * candidates.length)];
  }

  private performEffect(from: SimulatedProxy, effect: Effect): void {
    const {clock} = this;
    switch (effect.kind) {
      case 'watchSource':
        return this.watchSource(from, effect.afterSequence, effect.waitMs);
      case 'askPeer':
        return this.askPeer(from, effect.address, effect.request);
      case 'replyPeer':
        return this.pendingReplies.get(effect.requestId)?.(
          effect.reply as never,
        );
      case 'sendAttempt':
        return this.sendAttempt(from, effect);
      case 'cancelAttempt':
        return;
      case 'answerCall':
        return this.recordAnswer(effect);
      case 'dispatch': {
        const {attemptId, timeoutMs} = effect;
        const record = this.open.get(getCallId(attemptId));
        this.upstreamByOwner
          .get(from)
          ?.run(attemptId, record?.workMs ?? 0, timeoutMs, failure =>
            from.processEvent(
              failure === undefined
                ? {kind: 'upstreamAnswered', attemptId, answer: OK_ANSWER}
                : {kind: 'upstreamFailed', attemptId, failure},
            ),
          );
        return;
      }
      case 'abortDispatch':
        return this.upstreamByOwner.get(from)?.cancel(effect.attemptId);
      case 'finishAttempt': {
        const {attemptId, result, load} = effect;
        const entry = this.attempts.get(attemptId);
        if (entry !== undefined && !this.isPartitioned(from, entry)) {
          clock.schedule(clock.now + getDelayMs(from, entry), () => {
            if (this.attempts.delete(attemptId)) {
              entry.processEvent({
                kind: 'attemptAnswered',
                attemptId,
                result,
                load,
              });
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
    this.clock.schedule(this.clock.now + delayMs, () =>
      from.processEvent({kind: 'sourceAnswered', head: 1, submissions}),
    );
  }

  private askPeer(
    from: SimulatedProxy,
    address: string,
    request: PeerRequest,
  ): void {
    const {clock} = this;
    const to = this.proxyByAddress.get(address);
    if (to === undefined || this.isPartitioned(from, to)) {
      clock.schedule(clock.now + PEER_TIMEOUT_MS, () =>
        from.processEvent({kind: 'peerFailed', address, request}),
      );
      return;
    }
    this.requestCount += 1;
    const requestId = `r${this.requestCount}`;
    const delayMs = getDelayMs(from, to);
    this.pendingReplies.set(requestId, reply => {
      this.pendingReplies.delete(requestId);
      clock.schedule(clock.now + delayMs, () =>
        from.processEvent({kind: 'peerReplied', address, request, reply}),
      );
    });
    clock.schedule(clock.now + delayMs, () =>
      to.processEvent({kind: 'peerAsked', requestId, request}),
    );
  }

  private sendAttempt(
    from: SimulatedProxy,
    effect: Extract<Effect, {kind: 'sendAttempt'}>,
  ): void {
    const {clock} = this;
    const {address, callId} = effect;
    const {attemptId, timeoutMs} = effect.attempt;
    // All proxies share one clock, so the attempt is delivered unchanged.
    const attempt: Attempt = effect.attempt;
    const to = this.proxyByAddress.get(address);
    const record = this.open.get(callId);
    if (record !== undefined) {
      record.attempts += 1;
      record.localAttempts += to?.endpoint.zone === record.zone ? 1 : 0;
    }
    this.attempts.set(attemptId, from);
    if (to !== undefined && !this.isPartitioned(from, to)) {
      clock.schedule(clock.now + getDelayMs(from, to), () =>
        to.processEvent({kind: 'attemptArrived', attempt}),
      );
    }
    clock.schedule(clock.now + timeoutMs, () => {
      if (this.attempts.delete(attemptId)) {
        from.processEvent({
          kind: 'attemptFailed',
          attemptId,
          failure: 'timeout',
        });
        to?.processEvent({kind: 'attemptCancelled', attemptId});
      }
    });
  }

  private isPartitioned(a: SimulatedProxy, b: SimulatedProxy): boolean {
    const {isolatedZone} = this;
    return (
      a.endpoint.zone !== b.endpoint.zone &&
      (a.endpoint.zone === isolatedZone || b.endpoint.zone === isolatedZone)
    );
  }

  private recordAnswer(effect: Extract<Effect, {kind: 'answerCall'}>): void {
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
  return a.endpoint.zone === b.endpoint.zone
    ? SAME_ZONE_DELAY_MS
    : OTHER_ZONE_DELAY_MS;
}

function createEndpoints(prefix: string, count: number, firstPort: number) {
  return Array.from({length: count}, (_, n) => ({
    id: `${prefix}-${n + 1}`,
    zone: ZONES[n % ZONES.length],
    peerAddress: `127.0.0.1:${firstPort + n}`,
  }));
}

function createSubmission(
  endpoints: ReturnType<typeof createEndpoints>,
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
    publishedAt: START_TIME_MS,
    patch: {
      services: {desk: {slots: SLOTS_PER_OWNER, connections: 120, ...service}},
      upstreams: Object.fromEntries(
        endpoints.map(({id, zone, peerAddress}) => [
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
