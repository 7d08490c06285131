/** Records the events of a soak test and collects violated invariants. */
import {getEvacuatedZones} from '../../../src/core/mesh/evacuations.js';
import {Refusal} from '../../../src/core/refusals.js';
import {Answer} from '../../../src/core/types.js';
import {MeshAttempt} from '../../../src/model/mesh.js';
import {
  INSTANCE_HEADER,
  LEAVING_HEADER,
  LIMIT_HEADER,
  Node,
} from './simulated_fleet.js';

/** Most time from the deadline of a call to its answer: two ticks of a core. */
const MAX_LATENESS_MS = 60;

/** Time within which all proxies must know that an upstream drains. */
const MAX_DRAIN_DELAY_MS = 2_000;

/** Time after which no request may reach an evacuated zone. */
const MAX_EVACUATION_MS = 5_000;

/** The users' rule on rate limits: span, time from the first naming, slack. */
const LIMIT_WINDOW_MS = 4_000;
const LIMIT_STABLE_MS = 3_000;
const LIMIT_FACTOR = 1.5;
const LIMIT_EXTRA = 5;
/** Time after which a proxy that passed on a limit counts as told. */
const TOLD_AFTER_MS = 500;

/** The users' bound on the time from a caller's departure to the start of a run. */
const MAX_START_AFTER_DEPARTURE_MS = 500;

/** Time without disturbance after which a proxy is in touch. */
const STABLE_MS = 3_000;

/** Rate limits that an upstream has named, with the time of each. */
interface LimitHistory {
  namedAt: number;
  changes: Array<{readonly at: number; readonly perSecond: number}>;
  arrivals: number[];
}

interface SoakCall {
  readonly node: Node;
  readonly startedAt: number;
  readonly idempotent: boolean;
  readonly attempts: number;
  /** Its deadline, counted from when its proxy has read it. */
  dueAt: number;
  result?: Answer | Refusal;
  /** The proxy process that accepted it ended before it was answered. */
  lost: boolean;
  runs: number;
  /** When its caller left before the answer. */
  leftAt?: number;
}

export class InvariantChecker {
  readonly violations: string[] = [];
  private readonly calls = new Map<string, SoakCall>();
  private readonly versions = new Map<Node, number>();
  private readonly drainingSince = new Map<string, number>();
  private readonly evacuatedSince = new Map<string, number>();
  /** By upstream's instance. */
  private readonly limits = new Map<string, LimitHistory>();
  /** When each proxy first passed on a limit, by proxy and instance. */
  private readonly toldLimitAt = new Map<string, number>();
  /** When each proxy passed on that an upstream is leaving, likewise. */
  private readonly toldLeavingAt = new Map<string, number>();
  private outageUntil = 0;

  recordCall(
    callId: string,
    call: Omit<SoakCall, 'result' | 'lost' | 'runs'>,
  ): void {
    this.calls.set(callId, {...call, lost: false, runs: 0});
  }

  /** Records that a call was read, which a process that stands still does late. */
  recordRead(callId: string, dueAt: number): void {
    const call = this.calls.get(callId);
    if (call !== undefined) {
      call.dueAt = dueAt;
    }
  }

  recordDeparture(callId: string, at: number): void {
    const call = this.calls.get(callId);
    if (call !== undefined && call.result === undefined) {
      call.leftAt = at;
    }
  }

  recordRun(attempt: MeshAttempt, node: Node, at: number): void {
    const {requestId} = attempt;
    const call = this.calls.get(requestId);
    if (call === undefined) {
      return;
    }
    call.runs += 1;
    const {leftAt = Infinity} = call;
    if (at > leftAt + MAX_START_AFTER_DEPARTURE_MS) {
      const ms = Math.round(at - leftAt);
      this.violations.push(
        `${requestId} started ${ms} ms after its caller had left`,
      );
    }
    if (!call.idempotent && call.runs > 1) {
      this.violations.push(
        `${requestId} is not idempotent but ran more than once`,
      );
    }
    if (call.runs > call.attempts) {
      this.violations.push(`${requestId} ran ${call.runs} times`);
    }
    this.checkNotRun(requestId, call);
    this.checkEvacuation(requestId, node, at);
    const since = this.drainingSince.get(node.instance.id);
    const isAfterOutage = since !== undefined && since > this.outageUntil;
    if (isAfterOutage && at - since > MAX_DRAIN_DELAY_MS) {
      const {id} = node.instance;
      this.violations.push(
        `${requestId} ran at ${id} ${at - since} ms after its drain began`,
      );
    }
  }

  recordResult(callId: string, result: Answer | Refusal, at: number): void {
    const call = this.calls.get(callId);
    if (call === undefined) {
      return;
    }
    if (call.result !== undefined) {
      this.violations.push(`${callId} was answered twice`);
    }
    call.result = result;
    // A process that stands still answers once it goes on.
    const dueAt = Math.max(call.dueAt, call.node.frozenUntil);
    if (at > dueAt + MAX_LATENESS_MS) {
      this.violations.push(`${callId} was answered ${at - dueAt} ms late`);
    }
    if (result.kind === 'answer' && call.runs === 0) {
      this.violations.push(`${callId} was answered without a run`);
    }
    this.checkNotRun(callId, call);
  }

  /** A call that was answered `not-run` must run neither before nor after. */
  private checkNotRun(callId: string, {result, runs}: SoakCall): void {
    const isAnsweredNotRun =
      result?.kind === 'refusal' && result.outcome === 'not-run';
    if (isAnsweredNotRun && runs > 0) {
      this.violations.push(
        `${callId} ran, but its caller was answered not-run: ${result.reason}`,
      );
    }
  }

  recordLimit(node: Node, perSecond: number | undefined, at: number): void {
    const {id} = node.instance;
    if (perSecond === undefined) {
      this.limits.delete(id);
      return;
    }
    const history = this.limits.get(id) ?? {
      namedAt: at,
      changes: [],
      arrivals: [],
    };
    history.changes.push({at, perSecond});
    this.limits.set(id, history);
  }

  /** Forgets what an earlier process with the same id has reported. */
  recordUpstreamStart(id: string): void {
    this.drainingSince.delete(id);
    for (const told of [this.toldLimitAt, this.toldLeavingAt]) {
      [...told.keys()]
        .filter(key => key.endsWith(`/${id}`))
        .forEach(key => told.delete(key));
    }
  }

  /** Records what an answer that a proxy passes on says of its upstream. */
  recordPassedReport(node: Node, result: Answer | Refusal, at: number): void {
    if (result.kind !== 'answer') {
      return;
    }
    const {headers} = result;
    const key = `${node.host}/${String(headers[INSTANCE_HEADER])}`;
    if (headers[LIMIT_HEADER] !== undefined && !this.toldLimitAt.has(key)) {
      this.toldLimitAt.set(key, at);
    }
    if (headers[LEAVING_HEADER] !== undefined && !this.toldLeavingAt.has(key)) {
      this.toldLeavingAt.set(key, at);
    }
  }

  /** Checks an arrival at an upstream against what its entry was told. */
  recordArrival(
    {requestId}: MeshAttempt,
    node: Node,
    entry: Node,
    at: number,
  ): void {
    const {id} = node.instance;
    if (node.state.stopped) {
      this.violations.push(
        `${requestId} reached ${id} after its proxy had decided to end`,
      );
    }
    const key = `${entry.host}/${id}`;
    const leavingAt = this.toldLeavingAt.get(key) ?? Infinity;
    const startedAt = this.calls.get(requestId)?.startedAt ?? at;
    if (startedAt > leavingAt + MAX_DRAIN_DELAY_MS) {
      this.violations.push(
        `${requestId} reached ${id} ${startedAt - leavingAt} ms after ${key} was told that it leaves`,
      );
    }
    const history = this.limits.get(id);
    const toldAt = this.toldLimitAt.get(key) ?? Infinity;
    if (history !== undefined && at >= toldAt + TOLD_AFTER_MS) {
      history.arrivals.push(at);
      this.checkLimit(id, history, at);
    }
  }

  private checkLimit(id: string, history: LimitHistory, at: number): void {
    const from = at - LIMIT_WINDOW_MS;
    if (from < history.namedAt + LIMIT_STABLE_MS) {
      return;
    }
    const inForce = history.changes.filter(
      (_change, n, all) => (all[n + 1]?.at ?? Infinity) > from,
    );
    const perSecond = Math.max(...inForce.map(change => change.perSecond));
    const allowed =
      LIMIT_FACTOR * perSecond * (LIMIT_WINDOW_MS / 1_000) + LIMIT_EXTRA;
    const count = history.arrivals.filter(arrival => arrival > from).length;
    if (count > allowed) {
      this.violations.push(
        `${id} got ${count} requests in 4 s, ${allowed} allowed, at ${at}`,
      );
    }
  }

  recordVersion(node: Node, at: number): void {
    const version = node.state.config?.version ?? 0;
    const before = this.versions.get(node) ?? 0;
    if (version < before) {
      this.violations.push(`${node.host} went back to ${version} at ${at}`);
    }
    this.versions.set(node, version);
  }

  /** Checks that all proxies in touch have a version, or a later one. */
  checkVersions(nodes: readonly Node[], version: number, at: number): void {
    for (const {host, alive, stopAt, disturbedUntil, state} of nodes) {
      const calmSince = Math.max(disturbedUntil, this.outageUntil);
      const isInTouch =
        alive && stopAt === undefined && at - calmSince >= STABLE_MS;
      const held = state.config?.version ?? 0;
      if (isInTouch && held < version) {
        this.violations.push(
          `${host} has version ${held} at ${at}, long after ${version}`,
        );
      }
    }
  }

  recordProcessStart(node: Node): void {
    this.versions.delete(node);
    for (const told of [this.toldLimitAt, this.toldLeavingAt]) {
      [...told.keys()]
        .filter(key => key.startsWith(`${node.host}/`))
        .forEach(key => told.delete(key));
    }
  }

  recordProcessEnd(node: Node): void {
    for (const call of this.calls.values()) {
      if (call.node === node && call.result === undefined) {
        call.lost = true;
      }
    }
  }

  recordShutdown(node: Node, at: number): void {
    const {graceMs} = node.state.settings;
    const tookMs = at - (node.stopAt ?? at);
    if (tookMs > graceMs) {
      this.violations.push(`${node.host} took ${tookMs} ms to stop`);
    }
    // Each run has a deadline that allows it to end within the grace period.
    if (node.runs.size > 0) {
      const runs = [...node.runs].join();
      this.violations.push(
        `${node.host} ended its planned stop after ${tookMs} ms with runs: ${runs}`,
      );
    }
  }

  recordEvacuation(zone: string, evacuated: boolean, at: number): void {
    if (evacuated) {
      this.evacuatedSince.set(zone, at);
    } else {
      this.evacuatedSince.delete(zone);
    }
  }

  private checkEvacuation(requestId: string, node: Node, at: number): void {
    const {zone} = node.instance;
    const since = this.evacuatedSince.get(zone);
    if (since === undefined) {
      return;
    }
    const from = Math.max(since, this.outageUntil, node.disturbedUntil);
    if (at - from > MAX_EVACUATION_MS) {
      this.violations.push(
        `${requestId} ran in ${zone} ${Math.round(at - since)} ms after its evacuation`,
      );
    }
  }

  recordDraining(node: Node, at: number): void {
    this.drainingSince.set(node.instance.id, at);
  }

  /** Records that updates may be late until the given time. */
  recordOutage(until: number): void {
    this.outageUntil = until;
  }

  /** Checks the state of all proxies after the recovery period. */
  checkFinalState(nodes: readonly Node[], version: number): void {
    const zones = [...this.evacuatedSince.keys()].sort().join();
    for (const {host, state} of nodes) {
      const known = getEvacuatedZones(state.fleet.evacuations).join();
      if (known !== zones) {
        this.violations.push(
          `${host} knows evacuated zones ${known}, expected ${zones}`,
        );
      }
    }
    for (const [callId, {result, lost, leftAt}] of this.calls) {
      if (result === undefined && !lost && leftAt === undefined) {
        this.violations.push(`${callId} was never answered`);
      }
    }
    const registered = nodes.map(({instance}) => instance.id).sort();
    for (const {host, state} of nodes) {
      if (state.config?.version !== version) {
        this.violations.push(
          `${host} has version ${state.config?.version}, expected ${version}`,
        );
      }
      const known = [...state.fleet.instances.keys()].sort();
      if (known.join() !== registered.join()) {
        this.violations.push(
          `${host} knows ${known.join()}, expected ${registered.join()}`,
        );
      }
    }
  }

  /** Counts how the calls ended, which shows whether there was any load. */
  summarize(): {
    answered: number;
    refused: number;
    lost: number;
    left: number;
  } {
    const calls = [...this.calls.values()];
    const count = (matches: (call: SoakCall) => boolean) =>
      calls.filter(matches).length;
    return {
      answered: count(({result}) => result?.kind === 'answer'),
      refused: count(({result}) => result?.kind === 'refusal'),
      lost: count(({lost}) => lost),
      left: count(({leftAt}) => leftAt !== undefined),
    };
  }
}
