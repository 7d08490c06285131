/**
 * Replays demand above capacity on the cores of a small fleet, without network:
 * every proxy is entry and owner, runs make nested calls, and refused callers
 * return. One seed always gives the same result.
 */
import {reduceMesh} from '../../src/core/mesh/mesh_core.js';
import {MeshState, createMeshState} from '../../src/core/mesh/mesh_state.js';
import {MeshEffect, MeshEventBody} from '../../src/core/mesh/mesh_types.js';
import {Refusal} from '../../src/core/refusals.js';
import {Answer} from '../../src/core/types.js';
import {SeededRandom} from '../../src/experiments/seeded_random.js';
import {Instance} from '../../src/model/mesh.js';
import {NO_BYTES, SETTINGS, createInstance} from './mesh_fixture.js';
import {EventQueue} from './event_queue.js';
import {
  CALLER_KINDS,
  CallerKind,
  LoadPattern,
  NESTED_KINDS,
  NestedKind,
  UPSTREAMS,
  createReplayConfig,
} from './scarcity_patterns.js';
import {KindResult, ReplayResult, createResult} from './scarcity_results.js';

/** Latency between two proxies, one way, in milliseconds. */
const LATENCY_MS = 1.4;
const TICK_MS = 25;
/** Moderate load before the counted time, in which estimates are learnt. */
const WARM_UP_MS = 2_000;
const COUNTED_MS = 8_000;
/** Time in which the callers of the counted time end. */
const DRAIN_MS = 4_000;
const WARM_UP_FACTOR = 0.9;
/** Refusals within this time count as refusals on arrival. */
const ARRIVAL_MS = 12;

interface Vm {
  readonly state: MeshState;
  readonly address: string;
  /** Run time as a multiple of the mean. */
  readonly factor: number;
}

interface Caller {
  readonly kind: CallerKind;
  readonly firstAt: number;
  readonly counted: boolean;
  tries: number;
  /** A try was held before it was refused. */
  held: boolean;
}

interface Run {
  readonly vm: Vm;
  readonly attemptId: string;
  readonly requestId: string;
  readonly kind: CallerKind | NestedKind;
  readonly deadlineAt: number;
  failed: boolean;
}

type CallEnd = (result: Answer | Refusal) => void;

export class ScarcityReplay {
  private readonly random: SeededRandom;
  /** The same callers arrive whatever the cores decide. */
  private readonly arrivals: SeededRandom;
  private readonly events = new EventQueue();
  private readonly vms: Vm[] = [];
  private readonly vmByAddress = new Map<string, Vm>();
  private readonly entryByAttempt = new Map<string, Vm>();
  private readonly callEnds = new Map<string, CallEnd>();
  private readonly callerByRequest = new Map<string, Caller>();
  private readonly results = new Map<string, KindResult>();
  private utility = 0;
  private possibleUtility = 0;
  private refusedAttempts = 0;
  private nextId = 1;

  constructor(
    private readonly pattern: LoadPattern,
    seed: number,
  ) {
    this.random = new SeededRandom(seed);
    this.arrivals = new SeededRandom(seed + 1_000);
    this.createFleet();
  }

  run(): ReplayResult {
    const endAt = WARM_UP_MS + COUNTED_MS;
    for (const kind of CALLER_KINDS) {
      this.results.set(kind.name, createResult());
      this.scheduleArrivals(kind, endAt);
    }
    this.scheduleTick(endAt + DRAIN_MS);
    this.events.runAll();
    return {
      kinds: this.results,
      utility: this.utility / this.possibleUtility,
      refusedAttempts: this.refusedAttempts,
    };
  }

  private createFleet(): void {
    const instances: Instance[] = [];
    for (const {service, count, slots} of UPSTREAMS) {
      for (let n = 0; n < count; n += 1) {
        const zone = ['north', 'south', 'west'][n % 3];
        const host = instances.length + 1;
        instances.push(createInstance(host, {service, slots, zone}));
        const {min, max} = this.pattern.speeds;
        const factor = min + ((max - min) * n) / (count - 1);
        const address = `10.0.0.${host}:${SETTINGS.linkPort}`;
        const upstreamAddress = `10.0.0.${host}:8000`;
        const settings = {
          ...SETTINGS,
          scarceSlots: true,
          address,
          upstreamAddress,
          service,
          zone,
        };
        const vm = {state: createMeshState(settings), address, factor};
        this.vms.push(vm);
        this.vmByAddress.set(address, vm);
      }
    }
    const config = createReplayConfig();
    for (const vm of this.vms) {
      const fleet = {kind: 'fleet', revision: 10, instances} as const;
      const request = {kind: 'fleet', mayBeStale: false} as const;
      this.post(vm, {kind: 'sourceAnswered', request, answer: fleet});
      const answer = {kind: 'config', revision: 10, config} as const;
      this.post(vm, {
        kind: 'sourceAnswered',
        request: {kind: 'config'},
        answer,
      });
    }
  }

  private scheduleTick(endAt: number): void {
    if (this.events.now < endAt) {
      this.vms.forEach(vm =>
        this.post(vm, {kind: 'tick', linkBytes: NO_BYTES}),
      );
      this.events.after(TICK_MS, () => this.scheduleTick(endAt));
    }
  }

  private scheduleArrivals(kind: CallerKind, endAt: number): void {
    const {perSecond, name} = kind;
    for (let at = 0; ;) {
      const factor =
        at < WARM_UP_MS
          ? (this.pattern.warmUpFactor ?? WARM_UP_FACTOR)
          : this.pattern.getFactor(name, at - WARM_UP_MS);
      const gapMs = this.arrivals.getExponential(1_000 / (perSecond * factor));
      if (at < WARM_UP_MS && at + gapMs >= WARM_UP_MS) {
        // The next gap is drawn again, for the demand of the counted time.
        at = WARM_UP_MS;
        continue;
      }
      at += gapMs;
      if (at >= endAt) {
        return;
      }
      const firstAt = at;
      this.events.at(at, () => this.addCaller(kind, firstAt));
    }
  }

  private addCaller(kind: CallerKind, firstAt: number): void {
    const counted = firstAt >= WARM_UP_MS;
    const {tries} = this.pattern;
    const caller = {kind, firstAt, counted, tries, held: false};
    if (counted) {
      this.getResult(caller).callers += 1;
      this.possibleUtility += kind.utility;
    }
    this.ask(caller);
  }

  private getResult({kind}: Caller): KindResult {
    return this.results.get(kind.name)!;
  }

  /** Sends one try of a caller to a random entry. */
  private ask(caller: Caller): void {
    caller.tries -= 1;
    const {kind, firstAt} = caller;
    const askedAt = this.events.now;
    const vm = this.vms[this.random.getUint32() % this.vms.length];
    const timeoutMs = firstAt + kind.deadlineMs - askedAt;
    const requestId = `r-${this.nextId++}`;
    this.callerByRequest.set(requestId, caller);
    this.call(vm, kind.name, requestId, timeoutMs, undefined, result => {
      const heldMs = this.events.now - askedAt;
      this.endTry(caller, result, heldMs);
    });
  }

  private endTry(
    caller: Caller,
    result: Answer | Refusal,
    heldMs: number,
  ): void {
    const {kind, firstAt} = caller;
    if (result.kind === 'answer' && result.status === 200) {
      this.settle(caller, this.events.now - firstAt);
      return;
    }
    caller.held ||= heldMs > ARRIVAL_MS;
    const isRefused = result.kind === 'refusal' && result.outcome === 'not-run';
    if (isRefused && caller.tries > 0) {
      const advisedMs = result.retryAfterMs ?? 0;
      const delayMs = this.pattern.returnMs ?? advisedMs;
      const returnAt = this.events.now + delayMs;
      // A caller gives up when not even the fastest run would fit.
      if (returnAt + kind.workMs / 2 < firstAt + kind.deadlineMs) {
        this.events.at(returnAt, () => this.ask(caller));
        return;
      }
    }
    if (!caller.counted) {
      return;
    }
    const results = this.getResult(caller);
    if (isRefused) {
      results.refusedAfterWait += Number(caller.held);
      results.refusedOnArrival += Number(!caller.held);
    } else if (result.kind === 'answer') {
      results.failed += 1;
    } else {
      results.expired += 1;
    }
  }

  private settle({kind, counted}: Caller, tookMs: number): void {
    if (!counted) {
      return;
    }
    const results = this.results.get(kind.name)!;
    if (tookMs <= kind.aimMs) {
      results.inTime += 1;
      this.utility += kind.utility;
    } else {
      results.late += 1;
      this.utility += kind.lateUtility;
    }
  }

  private call(
    vm: Vm,
    path: string,
    requestId: string,
    timeoutMs: number,
    parentId: string | undefined,
    end: CallEnd,
  ): void {
    const callId = `c-${this.nextId++}`;
    this.callEnds.set(callId, end);
    const call = {
      requestId,
      parentId,
      host: 'shop.example',
      path: `/${path}/1`,
      timeoutMs,
      bodyBytes: 0,
      fingerprint: callId,
    };
    this.post(vm, {kind: 'callArrived', callId, call});
  }

  private post(vm: Vm, body: MeshEventBody): void {
    const at = this.events.now + 1_000;
    const entropy = this.random.getUint32();
    const [, effects] = reduceMesh(vm.state, {...body, at, entropy});
    effects.forEach(effect => this.carryOut(vm, effect));
  }

  private carryOut(vm: Vm, effect: MeshEffect): void {
    switch (effect.kind) {
      case 'sendAttempt': {
        const {attempt, to} = effect;
        const owner = this.vmByAddress.get(to ?? vm.address)!;
        this.entryByAttempt.set(attempt.attemptId, vm);
        this.send(vm, owner, {kind: 'attemptArrived', attempt});
        return;
      }
      case 'finishAttempt': {
        const {attemptId, outcome} = effect;
        const entry = this.entryByAttempt.get(attemptId)!;
        const isRefused = outcome.result.kind === 'refusal';
        this.refusedAttempts += Number(isRefused);
        this.send(vm, entry, {kind: 'attemptEnded', attemptId, outcome});
        return;
      }
      case 'answerCall': {
        const end = this.callEnds.get(effect.callId);
        this.callEnds.delete(effect.callId);
        this.events.after(0, () => end?.(effect.result));
        return;
      }
      case 'dispatch':
        this.events.after(0, () =>
          this.startRun(vm, effect.attemptId, effect.timeoutMs),
        );
        return;
      default:
    }
  }

  private send(from: Vm, to: Vm, body: MeshEventBody): void {
    const latencyMs = from === to ? 0 : LATENCY_MS;
    this.events.after(latencyMs, () => this.post(to, body));
  }

  private startRun(vm: Vm, attemptId: string, timeoutMs: number): void {
    const attempt = vm.state.work.running.get(attemptId)?.attempt;
    if (attempt === undefined) {
      return;
    }
    const {requestId, route} = attempt;
    const kind = [...CALLER_KINDS, ...NESTED_KINDS].find(
      ({name}) => name === route,
    )!;
    const deadlineAt = this.events.now + timeoutMs;
    const run = {vm, attemptId, requestId, kind, deadlineAt, failed: false};
    const caller = this.callerByRequest.get(requestId);
    if (caller?.counted === true) {
      this.getResult(caller).runs += 1;
    }
    this.events.at(deadlineAt, () => {
      this.post(vm, {kind: 'upstreamFailed', attemptId, failure: 'timeout'});
    });
    const noise = 0.6 + 0.8 * this.random.getFraction();
    const workMs = kind.workMs * vm.factor * noise;
    const {nested} = kind;
    if (nested === undefined || this.random.getFraction() >= nested.share) {
      this.events.after(workMs, () => this.endRun(run));
      return;
    }
    this.events.after(workMs / 2, () =>
      this.callNested(run, nested.kind, nested.times, workMs / 2),
    );
  }

  private callNested(
    run: Run,
    kind: NestedKind,
    times: number,
    restMs: number,
  ): void {
    if (times === 0 || run.failed) {
      this.events.after(run.failed ? 0 : restMs, () => this.endRun(run));
      return;
    }
    const requestId = `${run.requestId}.${times}`;
    const {deadlineMs} = kind;
    this.call(run.vm, kind.name, requestId, deadlineMs, run.requestId, end => {
      run.failed = end.kind !== 'answer' || end.status !== 200;
      this.callNested(run, kind, times - 1, restMs);
    });
  }

  private endRun(run: Run): void {
    const caller = this.callerByRequest.get(run.requestId);
    const isLate = this.events.now >= run.deadlineAt;
    if (caller?.counted === true && (run.failed || isLate)) {
      this.getResult(caller).wastedRuns += 1;
    }
    const {attemptId} = run;
    const status = run.failed ? 500 : 200;
    const body = new Uint8Array(0);
    const answer = {kind: 'answer', status, headers: {}, body} as const;
    const facts = {notRun: false, otherInstance: false};
    this.post(run.vm, {kind: 'upstreamAnswered', attemptId, answer, facts});
  }
}
