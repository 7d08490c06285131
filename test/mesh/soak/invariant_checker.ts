/** Keeps what happened in a soak, and says which promises were broken. */
import {Refusal} from '../../../src/core/refusals.js';
import {Answer} from '../../../src/core/types.js';
import {MeshAttempt} from '../../../src/model/mesh.js';
import {Node} from './simulated_fleet.js';

/** Time that an answer may come after its deadline: two ticks of the core. */
const MAX_LATENESS_MS = 60;

/** Time in which proxies must know that an upstream drains. */
const MAX_DRAIN_DELAY_MS = 2_000;

interface SoakCall {
  readonly node: Node;
  readonly idempotent: boolean;
  readonly attempts: number;
  readonly dueAt: number;
  result?: Answer | Refusal;
  /** The process that had it ended first. */
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
      this.violations.push(`${requestId} may not run twice, but did`);
    }
    if (call.runs > call.attempts) {
      this.violations.push(`${requestId} ran ${call.runs} times`);
    }
    this.checkNotRun(requestId, call);
    const since = this.drainingSince.get(node.instance.id);
    const isKnown = since !== undefined && since > this.outageUntil;
    if (isKnown && at - since > MAX_DRAIN_DELAY_MS) {
      const {id} = node.instance;
      this.violations.push(`${requestId} reached ${id} ${at - since} ms late`);
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

  /** A promise that a request has not run holds for all time. */
  private checkNotRun(callId: string, {result, runs}: SoakCall): void {
    const isPromised =
      result?.kind === 'refusal' && result.outcome === 'not-run';
    if (isPromised && runs > 0) {
      this.violations.push(
        `${callId} ran, but its caller was told not: ${result.reason}`,
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

  recordPlannedStop(node: Node, at: number): void {
    const {graceMs} = node.state.settings;
    const tookMs = at - (node.stopAt ?? at);
    if (tookMs > graceMs) {
      this.violations.push(`${node.host} took ${tookMs} ms to stop`);
    }
  }

  recordDraining(node: Node, at: number): void {
    this.drainingSince.set(node.instance.id, at);
  }

  /** While the source or a link is away, news may be late. */
  extendOutage(at: number): void {
    this.outageUntil = at;
  }

  /** Checks what must hold once all is calm again. */
  checkFinalState(nodes: readonly Node[], version: number): void {
    for (const [callId, {result, lost}] of this.calls) {
      if (result === undefined && !lost) {
        this.violations.push(`${callId} was never answered`);
      }
    }
    const listed = nodes.map(({instance}) => instance.id).sort();
    for (const {host, state} of nodes) {
      if (state.config?.version !== version) {
        this.violations.push(`${host} holds ${state.config?.version}`);
      }
      const known = [...state.fleet.instances.keys()].sort();
      if (known.join() !== listed.join()) {
        this.violations.push(`${host} knows ${known.join()}`);
      }
    }
  }

  /** How the calls ended, for a run to be told apart from an idle one. */
  summarize(): {answered: number; refused: number; lost: number} {
    const calls = [...this.calls.values()];
    const count = (holds: (call: SoakCall) => boolean) =>
      calls.filter(holds).length;
    return {
      answered: count(({result}) => result?.kind === 'answer'),
      refused: count(({result}) => result?.kind === 'refusal'),
      lost: count(({lost}) => lost),
    };
  }
}
