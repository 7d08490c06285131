/**
 * Simulated fleet of real proxy cores whose messages are unordered: any step may
 * deliver, drop, duplicate or delay any of them. Records that the cores cannot
 * see are kept to check the invariants of the fleet after each event.
 */
import {createCoreSettings} from '../../src/core/core_settings.js';
import {reduceProxy} from '../../src/core/proxy_core.js';
import {createProxyState, ProxyState} from '../../src/core/proxy_state.js';
import {Answer, Effect, EventBody, FailureKind} from '../../src/core/types.js';
import {Patch, Service, Submission} from '../../src/model/config.js';
import {Attempt} from '../../src/model/peer.js';
import {
  createServicePatch,
  createSettings,
  createSubmission,
  getPeerAddress,
  START_MS,
} from '../support/core_fixture.js';
import {assignZone} from '../support/fleet_patches.js';

/** A message in transit for longer is lost, because no connection lasts longer. */
const MAX_DELAY_MS = 10_000;

const ZONES = 3;
const FAULT_FREE_TICK_MS = 100;

/** Creates a patch with the same zones as the settings of the nodes. */
export function createFleetPatch(
  ids: readonly string[],
  service: Partial<Service> = {},
): Patch {
  const patch = createServicePatch(ids, service);
  const upstreams = Object.entries(patch.upstreams ?? {}).map(
    ([id, upstream]) => [
      id,
      upstream && {...upstream, zone: assignZone(id, ZONES)},
    ],
  );
  return {...patch, upstreams: Object.fromEntries(upstreams)};
}

export interface Node {
  readonly id: string;
  state: ProxyState;
  /** Number of starts so far; distinguishes the process from earlier ones. */
  generation: number;
  alive: boolean;
  paused: boolean;
  /** Highest sequence that was active in any generation while it was ready. */
  highestSequence: number;
  draining: boolean;
}

interface Message {
  readonly to: string;
  /** Generation of the receiver that it is meant for; undefined for any. */
  readonly receiverGeneration?: number;
  readonly sentAt: number;
  readonly label: string;
  deliver(): void;
  /** Reports to the sender that the message was lost. */
  reportLost(): void;
}

interface Watch {
  readonly generation: number;
  readonly after: number;
  /** The source responds only when there are further submissions. */
  readonly isLongPoll: boolean;
}

interface SentAttempt {
  readonly attempt: Attempt;
  readonly callId: string;
  readonly entry: Node;
  readonly entryGeneration: number;
  readonly dueAt: number;
}

interface Dispatch {
  readonly owner: Node;
  readonly ownerGeneration: number;
  readonly attempt: Attempt;
  readonly callId: string;
  readonly dueAt: number;
  /** True while the owner waits for the result. */
  awaited: boolean;
  ran: boolean;
}

export interface Call {
  readonly callId: string;
  /** Identifies what may run only once: the caller's key, or else this call. */
  readonly runId: string;
  readonly mustRunAtMostOnce: boolean;
  readonly fingerprint: string;
  readonly entry: Node;
  readonly entryGeneration: number;
  answers: number;
}

export class InterleavedFleet {
  readonly nodes: readonly Node[];
  readonly log: Submission[] = [];
  readonly calls = new Map<string, Call>();
  /** Events that explain a violation; the last ones are part of its message. */
  readonly trace: string[] = [];
  messages: Message[] = [];
  dispatches: Dispatch[] = [];
  at = START_MS;
  private sent = new Map<string, SentAttempt>();
  private watches = new Map<string, Watch>();
  private readonly runCounts = new Map<string, number>();
  private readonly reportedNotRun = new Set<string>();
  private readonly arrivedAfterDrain = new Set<string>();
  private entropy = 7;

  constructor(readonly ids: readonly string[]) {
    this.nodes = ids.map(id => ({
      id,
      state: this.createState(id),
      generation: 0,
      alive: false,
      paused: false,
      highestSequence: 0,
      draining: false,
    }));
  }

  private createState(id: string): ProxyState {
    const settings = createSettings(id, {
      zone: assignZone(id, ZONES),
      seeds: this.ids
        .filter(other => other !== id)
        .slice(0, 2)
        .map(getPeerAddress),
    });
    return createProxyState(
      createCoreSettings(settings, getPeerAddress(id), this.at),
    );
  }

  start(node: Node): void {
    node.alive = true;
    node.paused = false;
    node.draining = false;
    node.generation += 1;
    node.state = this.createState(node.id);
    this.reduce(node, {kind: 'started'});
  }

  /** Kills the process. Requests sent to its upstream may still run. */
  kill(node: Node): void {
    node.alive = false;
    this.watches.delete(node.id);
    for (const dispatch of this.dispatches) {
      dispatch.awaited &&= dispatch.owner !== node;
    }
    for (const [attemptId, {attempt, entry}] of this.sent) {
      if (entry === node) {
        this.sent.delete(attemptId);
      } else if (attempt.upstreamId === node.id) {
        this.failAttempt(attemptId, 'reset');
      }
    }
  }

  publish(patch: unknown, base: number): void {
    const sequence = this.log.length + 1;
    const submission = createSubmission(sequence, base, patch);
    this.log.push({...submission, publishedAt: this.at});
  }

  /** Answers a pending watch, from a replica of the source that has `head`. */
  answerWatch(node: Node, head: number): void {
    const watch = this.watches.get(node.id);
    if (
      watch === undefined ||
      watch.generation !== node.generation ||
      node.paused
    ) {
      return;
    }
    this.watches.delete(node.id);
    const submissions = this.log.slice(
      watch.after,
      Math.max(watch.after, head),
    );
    this.reduce(node, {kind: 'sourceAnswered', head, submissions});
  }

  call(
    node: Node,
    method: 'GET' | 'POST',
    key: string | undefined,
    timeoutMs: number,
  ): void {
    const callId = `call-${this.calls.size}`;
    const mustRunAtMostOnce = method === 'POST';
    const runId = mustRunAtMostOnce && key !== undefined ? key : callId;
    const fingerprint = `f-${runId}`;
    this.calls.set(callId, {
      callId,
      runId,
      mustRunAtMostOnce,
      fingerprint,
      entry: node,
      entryGeneration: node.generation,
      answers: 0,
    });
    this.reduce(node, {
      kind: 'callArrived',
      callId,
      call: {
        method,
        host: 'desk',
        path: '/',
        key,
        timeoutMs,
        fingerprint,
        retriedByOuter: false,
      },
    });
  }

  /** Closes the connection of the caller. */
  disconnectCaller(call: Call): void {
    const {callId, entry, entryGeneration} = call;
    const isWaiting =
      call.answers === 0 && entry.generation === entryGeneration;
    if (isWaiting && entry.alive && !entry.paused) {
      call.answers = 1;
      this.reduce(entry, {kind: 'callerGone', callId});
    }
  }

  drain(node: Node): void {
    node.draining = true;
    this.reduce(node, {kind: 'drainRequested'});
  }

  /** Executes a request at the upstream, whether or not its owner still waits. */
  execute(dispatch: Dispatch): void {
    if (dispatch.ran) {
      return;
    }
    dispatch.ran = true;
    const {runId, mustRunAtMostOnce} = this.getCall(dispatch.callId);
    const count = (this.runCounts.get(runId) ?? 0) + 1;
    this.trace.push(`${dispatch.owner.id} ran ${runId}`);
    this.runCounts.set(runId, count);
    this.assertInvariant(
      !mustRunAtMostOnce || count === 1,
      `${runId} ran ${count} times`,
    );
    this.assertInvariant(
      !this.reportedNotRun.has(runId),
      `${runId} ran after it was reported as not run`,
    );
  }

  /** Answers a request of the owner, or fails its connection to the upstream. */
  completeDispatch(dispatch: Dispatch, failure?: FailureKind): void {
    const {owner, ownerGeneration, attempt} = dispatch;
    if (
      !dispatch.awaited ||
      owner.paused ||
      owner.generation !== ownerGeneration
    ) {
      return;
    }
    if (failure === 'connect' && dispatch.ran) {
      return;
    }
    dispatch.awaited = false;
    const {attemptId} = attempt;
    if (failure !== undefined) {
      dispatch.ran ||= failure === 'connect';
      this.reduce(owner, {kind: 'upstreamFailed', attemptId, failure});
      return;
    }
    this.execute(dispatch);
    const body = new TextEncoder().encode(attempt.fingerprint);
    const answer: Answer = {kind: 'answer', status: 200, headers: {}, body};
    this.reduce(owner, {kind: 'upstreamAnswered', attemptId, answer});
  }

  deliverMessage(message: Message): void {
    const to = this.getNode(message.to);
    if (to.paused) {
      return;
    }
    this.messages.splice(this.messages.indexOf(message), 1);
    const isStale =
      message.receiverGeneration !== undefined &&
      message.receiverGeneration !== to.generation;
    if (to.alive && !isStale) {
      message.deliver();
    } else if (!isStale) {
      message.reportLost();
    }
  }

  dropMessage(message: Message): void {
    this.messages.splice(this.messages.indexOf(message), 1);
    message.reportLost();
  }

  /** Reports a message as lost, but leaves it in transit. */
  reportLostButKeep(message: Message): void {
    message.reportLost();
    const index = this.messages.indexOf(message);
    this.messages[index] = {...message, reportLost: () => undefined};
  }

  duplicateMessage(message: Message): void {
    if (message.label === 'request') {
      this.messages.push({...message, reportLost: () => undefined});
    }
  }

  /**
   * Advances the clock. Drops late messages, fails what has timed out, and sends
   * a tick to all processes that are not paused.
   */
  advance(ms: number): void {
    this.at += ms;
    for (const message of [...this.messages]) {
      if (this.at - message.sentAt > MAX_DELAY_MS) {
        this.dropMessage(message);
      }
    }
    for (const [attemptId, {dueAt}] of this.sent) {
      if (this.at > dueAt) {
        this.failAttempt(attemptId, 'timeout');
      }
    }
    for (const dispatch of this.dispatches) {
      if (this.at > dispatch.dueAt) {
        this.completeDispatch(dispatch, 'timeout');
      }
    }
    for (const node of this.nodes) {
      if (node.alive && !node.paused) {
        this.reduce(node, {kind: 'tick'});
      }
    }
  }

  private failAttempt(attemptId: string, failure: FailureKind): void {
    const sent = this.sent.get(attemptId);
    this.sent.delete(attemptId);
    if (sent !== undefined) {
      const body = {kind: 'attemptFailed', attemptId, failure} as const;
      this.enqueueEvent(sent.entry, sent.entryGeneration, 'result', body);
    }
  }

  /** Sends an event to a process, which receives `lost` if the event is lost. */
  private enqueueEvent(
    to: Node,
    generation: number,
    label: string,
    body: EventBody,
    lost = body,
  ): void {
    this.messages.push({
      to: to.id,
      receiverGeneration: generation,
      label,
      sentAt: this.at,
      deliver: () => this.reduce(to, body),
      reportLost: () => this.enqueueEvent(to, generation, label, lost),
    });
  }

  private reduce(node: Node, body: EventBody): void {
    this.entropy = (Math.imul(this.entropy, 1_664_525) + 1_013_904_223) >>> 0;
    const event = {...body, at: this.at, entropy: this.entropy};
    const [, effects] = reduceProxy(node.state, event);
    for (const effect of effects) {
      this.performEffect(node, effect);
    }
    this.checkNode(node);
  }

  private performEffect(node: Node, effect: Effect): void {
    switch (effect.kind) {
      case 'watchSource':
        this.watches.set(node.id, {
          generation: node.generation,
          after: effect.afterSequence,
          isLongPoll: effect.waitMs > 0,
        });
        return;
      case 'askPeer':
        return this.sendPeerRequest(node, effect);
      case 'sendAttempt':
        return this.sendAttemptToOwner(node, effect);
      case 'cancelAttempt':
        return this.sendCancellation(effect.attemptId);
      case 'answerCall':
        return this.checkAnswer(effect);
      case 'dispatch':
        return this.dispatch(node, effect);
      case 'abortDispatch':
        return;
      case 'finishAttempt':
        return this.sendAttemptResult(effect);
      case 'drained':
        this.checkDrained(node);
        return this.kill(node);
      default:
        return;
    }
  }

  private sendPeerRequest(
    from: Node,
    ask: Extract<Effect, {kind: 'askPeer'}>,
  ): void {
    const {address, request} = ask;
    const {generation} = from;
    const to = this.nodes.find(({id}) => getPeerAddress(id) === address);
    const fail = () =>
      this.enqueueEvent(from, generation, 'reply', {
        kind: 'peerFailed',
        address,
        request,
      });
    if (to === undefined) {
      return fail();
    }
    this.messages.push({
      to: to.id,
      label: 'request',
      sentAt: this.at,
      reportLost: fail,
      deliver: () => {
        const event = {
          kind: 'peerAsked',
          requestId: 'r',
          request: structuredClone(request),
          at: this.at,
          entropy: this.entropy,
        } as const;
        const [, effects] = reduceProxy(to.state, event);
        for (const effect of effects) {
          if (effect.kind === 'replyPeer') {
            const reply = structuredClone(effect.reply);
            const body = {
              kind: 'peerReplied',
              address,
              request,
              reply,
            } as const;
            const lost = {kind: 'peerFailed', address, request} as const;
            this.enqueueEvent(from, generation, 'reply', body, lost);
          } else {
            this.performEffect(to, effect);
          }
        }
        this.checkNode(to);
      },
    });
  }

  private sendAttemptToOwner(
    entry: Node,
    effect: Extract<Effect, {kind: 'sendAttempt'}>,
  ): void {
    const {attempt, callId} = effect;
    const {attemptId, upstreamId, timeoutMs} = attempt;
    const dueAt = this.at + timeoutMs;
    this.sent.set(attemptId, {
      attempt,
      callId,
      entry,
      entryGeneration: entry.generation,
      dueAt,
    });
    const owner = this.getNode(upstreamId);
    this.messages.push({
      to: upstreamId,
      label: 'attempt',
      sentAt: this.at,
      reportLost: () =>
        this.failAttempt(attemptId, owner.alive ? 'reset' : 'connect'),
      deliver: () => {
        if (owner.draining) {
          this.arrivedAfterDrain.add(attemptId);
        }
        this.reduce(owner, {kind: 'attemptArrived', attempt});
      },
    });
  }

  private sendCancellation(attemptId: string): void {
    const sent = this.sent.get(attemptId);
    this.sent.delete(attemptId);
    if (sent !== undefined) {
      const owner = this.getNode(sent.attempt.upstreamId);
      const body = {kind: 'attemptCancelled', attemptId} as const;
      this.enqueueEvent(owner, owner.generation, 'cancel', body);
    }
  }

  private dispatch(
    owner: Node,
    effect: Extract<Effect, {kind: 'dispatch'}>,
  ): void {
    const {attemptId, timeoutMs} = effect;
    const [callId] = attemptId.split('.');
    const admitted = owner.state.owner.admission.running.get(attemptId);
    if (admitted === undefined) {
      throw new Error(`${attemptId} was dispatched without a slot`);
    }
    this.assertInvariant(
      !this.arrivedAfterDrain.has(attemptId),
      `${owner.id} ran ${attemptId}, which arrived after its drain began`,
    );
    this.trace.push(`${owner.id} dispatches ${attemptId}`);
    // After the limit was lowered, running requests finish and none is started.
    const slots = owner.state.log.table.services.get('desk')?.slots ?? 0;
    const {size} = owner.state.owner.admission.running;
    this.assertInvariant(
      size <= slots,
      `${owner.id} runs ${size} requests in ${slots} slots`,
    );
    this.dispatches.push({
      owner,
      ownerGeneration: owner.generation,
      attempt: admitted.attempt,
      callId,
      dueAt: this.at + timeoutMs,
      awaited: true,
      ran: false,
    });
  }

  private sendAttemptResult(
    effect: Extract<Effect, {kind: 'finishAttempt'}>,
  ): void {
    const {attemptId, result, load} = effect;
    const sent = this.sent.get(attemptId);
    if (sent !== undefined) {
      this.sent.delete(attemptId);
      const body = {kind: 'attemptAnswered', attemptId, result, load} as const;
      const lost = {
        kind: 'attemptFailed',
        attemptId,
        failure: 'reset',
      } as const;
      this.enqueueEvent(sent.entry, sent.entryGeneration, 'result', body, lost);
    }
  }

  private checkNode(node: Node): void {
    const {log, startup} = node.state;
    if (startup.ready) {
      const {sequence} = log.active;
      this.assertInvariant(
        sequence >= node.highestSequence,
        `${node.id} went back from sequence ${node.highestSequence} to ${sequence}`,
      );
      node.highestSequence = sequence;
    }
    const {table} = log;
    this.assertInvariant(
      table.version === log.active.version &&
        table.routes.every(
          ({target}) =>
            table.services.get(target.name) === target &&
            target.upstreams.length > 0 &&
            target.upstreams.every(u => table.upstreams.get(u.id) === u),
        ),
      `${node.id} has a route whose target is not in its routing table`,
    );
  }

  private checkAnswer(effect: Extract<Effect, {kind: 'answerCall'}>): void {
    const {callId, result} = effect;
    const call = this.getCall(callId);
    const {runId, fingerprint} = call;
    call.answers += 1;
    this.assertInvariant(call.answers === 1, `${callId} was answered twice`);
    if (result.kind === 'answer') {
      const body = new TextDecoder().decode(result.body);
      this.assertInvariant(
        body === fingerprint,
        `${callId} got the answer of another request: ${body}`,
      );
      return;
    }
    this.trace.push(`${callId} ${runId}: ${result.reason}, ${result.outcome}`);
    if (result.outcome === 'not-run') {
      this.reportedNotRun.add(runId);
      const ran = this.runCounts.get(runId) ?? 0;
      this.assertInvariant(
        ran === 0,
        `${runId} was reported as not run after ${ran} runs`,
      );
    }
  }

  private checkDrained(node: Node): void {
    const hasPending = this.dispatches.some(
      ({owner, ownerGeneration, awaited}) =>
        owner === node && ownerGeneration === node.generation && awaited,
    );
    this.assertInvariant(
      !hasPending,
      `${node.id} stopped with requests in flight`,
    );
  }

  private assertInvariant(condition: boolean, fault: string): void {
    if (!condition) {
      throw new Error(`${fault}\n  ${this.trace.slice(-40).join('\n  ')}`);
    }
  }

  private getNode(id: string): Node {
    const node = this.nodes.find(other => other.id === id);
    if (node === undefined) {
      throw new Error(`There is no node ${id}.`);
    }
    return node;
  }

  private getCall(callId: string): Call {
    const call = this.calls.get(callId);
    if (call === undefined) {
      throw new Error(`There is no call ${callId}.`);
    }
    return call;
  }

  /** Publishes the first configuration and starts all nodes, without faults. */
  startAll(): void {
    this.publish(createFleetPatch(this.ids), 0);
    this.nodes.forEach(node => this.start(node));
    this.runWithoutFaults(3_000);
  }

  /** Advances the clock, delivers all messages and answers all requests. */
  runWithoutFaults(ms: number): void {
    for (const endAt = this.at + ms; this.at < endAt;) {
      this.advance(FAULT_FREE_TICK_MS);
      for (let round = 0; round < 20 && this.messages.length > 0; round += 1) {
        [...this.messages].forEach(message => this.deliverMessage(message));
      }
      for (const node of this.nodes) {
        const watch = this.watches.get(node.id);
        const hasUpdates = (watch?.after ?? 0) < this.log.length;
        if (hasUpdates || watch?.isLongPoll === false) {
          this.answerWatch(node, this.log.length);
        }
      }
      this.dispatches.forEach(dispatch => this.completeDispatch(dispatch));
    }
  }
}
