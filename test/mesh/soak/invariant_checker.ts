/** Records the events of a soak test and collects violated invariants. */
import {Refusal} from '../../../src/core/refusals.js';
import {Answer} from '../../../src/core/types.js';
import {MeshAttempt} from '../../../src/model/mesh.js';
import {Node} from './simulated_fleet.js';

/** Most time from the deadline of a call to its answer: two ticks of a core. */
const MAX_LATENESS_MS = 60;

/** Time within which all proxies must know that an upstream drains. */
const MAX_DRAIN_DELAY_MS = 2_000;

interface SoakCall {
  readonly node: Node;
  readonly idempotent: boolean;
  readonly attempts: number;
  readonly dueAt: number;
  result?: Answer | Refusal;
  /** The proxy process that accepted it ended before it was answered. */
  lost: boolean;
  runs: number;
}

export class InvariantChecker {
  readonly violations: string[] = [];
  private readonly calls = new Map<string, SoakCall>();
  private readonly versions = new Map<Node, number>();
  private readonly drainingSince = new Map<string, number>();
  private outageUntil = 0;

  recordCall(
    callId: string,
    call: Pick<SoakCall, 'node' | 'idempotent' | 'attempts' | 'dueAt'>,
  ): void {
    this.calls.set(callId, {...call, lost: false, runs: 0});
  }

  recordRun(attempt: MeshAttempt, node: Node, at: number): void {
    const {requestId} = attempt;
    const call = this.calls.get(requestId);
    if (call === undefined) {
      return;
    }
    call.runs += 1;
    if (!call.idempotent && call.runs > 1) {
      this.violations.push(
        `${requestId} is not idempotent but ran more than once`,
      );
    }
    if (call.runs > call.attempts) {
      this.violations.push(`${requestId} ran ${call.runs} times`);
    }
    this.checkNotRun(requestId, call);
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
    if (at > call.dueAt + MAX_LATENESS_MS) {
      this.violations.push(`${callId} was answered ${at - call.dueAt} ms late`);
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

  recordVersion(node: Node, at: number): void {
    const version = node.state.config?.version ?? 0;
    const before = this.versions.get(node) ?? 0;
    if (version < before) {
      this.violations.push(`${node.host} went back to ${version} at ${at}`);
    }
    this.versions.set(node, version);
  }

  recordProcessStart(node: Node): void {
    this.versions.delete(node);
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
    for (const [callId, {result, lost}] of this.calls) {
      if (result === undefined && !lost) {
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
  summarize(): {answered: number; refused: number; lost: number} {
    const calls = [...this.calls.values()];
    const count = (matches: (call: SoakCall) => boolean) =>
      calls.filter(matches).length;
    return {
      answered: count(({result}) => result?.kind === 'answer'),
      refused: count(({result}) => result?.kind === 'refusal'),
      lost: count(({lost}) => lost),
    };
  }
}
