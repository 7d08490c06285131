/**
 * Simulates a fleet: decision cores that exchange messages in memory, with a
 * virtual clock, a simulated source, and faults on the links.
 */
import {createCoreSettings} from '../../src/core/core_settings.js';
import {reduceProxy} from '../../src/core/proxy_core.js';
import {createProxyState, ProxyState} from '../../src/core/proxy_state.js';
import {Effect, Event, EventBody} from '../../src/core/types.js';
import {Patch, Submission} from '../../src/model/config.js';
import {PeerReply, PeerRequest} from '../../src/model/peer.js';
import {VmList} from '../../src/model/platform.js';
import {Settings} from '../../src/model/settings.js';
import {
  createServicePatch,
  createSettings,
  createSubmission,
  getPeerAddress,
  START_MS,
} from './core_fixture.js';

const TICK_INTERVAL_MS = 25;
const STEP_MS = 5;
const LATENCY_MS = 1;
const LOST_MESSAGE_TIMEOUT_MS = 1_500;

type AskPeerEffect = Extract<Effect, {kind: 'askPeer'}>;

export interface Node {
  readonly id: string;
  state: ProxyState;
  alive: boolean;
  /** How often the process has started. */
  startCount: number;
  sentBytes: number;
  receivedBytes: number;
  /** Requests and replies that were sent or received. */
  messages: number;
  readonly counts: Map<string, number>;
  /** Highest sequence in force while ready, across all restarts. */
  highestReadySequence: number;
}

/** A watch call that waits for an answer of the source. */
interface PendingWatch {
  readonly node: Node;
  readonly startCount: number;
  readonly expiresAt: number;
  readonly effect: Extract<Effect, {kind: 'watchSource'}>;
}

interface ScheduledTask {
  readonly dueAt: number;
  readonly run: () => void;
}

/** Simulates the platform's configuration service. */
export class FakeSource {
  readonly submissions: Submission[] = [];
  vmList: VmList = {revision: 0, vms: []};
  down = false;
  staleAt = Infinity;
  calls = 0;

  get head(): number {
    return Math.min(this.submissions.length, this.staleAt);
  }

  publish(patch: unknown, base: number): Submission {
    const submission = createSubmission(
      this.submissions.length + 1,
      base,
      patch,
    );
    this.submissions.push(submission);
    return submission;
  }

  setVms(states: Readonly<Record<string, 'live' | 'leaving'>>): void {
    const vms = Object.entries(states).map(([upstreamId, state]) => ({
      upstreamId,
      state,
    }));
    this.vmList = {revision: this.vmList.revision + 1, vms};
  }
}

export class FleetFixture {
  readonly source = new FakeSource();
  readonly nodes = new Map<string, Node>();
  /** Reports whether all messages from one proxy to another are lost. */
  isLinkDown: (from: string, to: string) => boolean = () => false;
  /** Reports whether a single request is lost. */
  isRequestLost: (request: PeerRequest) => boolean = () => false;
  /** Reports whether a proxy cannot reach the source. */
  isSourceUnreachable: (id: string) => boolean = () => false;
  /** Called for each request before it is delivered. */
  onRequest: (from: Node, effect: AskPeerEffect) => void = () => undefined;
  at = START_MS;
  private entropy: number;
  private scheduledTasks: ScheduledTask[] = [];
  private pendingWatches: PendingWatch[] = [];

  constructor(
    readonly ids: readonly string[],
    private readonly changes: (id: string) => Partial<Settings> = () => ({}),
    seed = 1,
  ) {
    this.entropy = seed;
    for (const id of ids) {
      this.nodes.set(id, {
        id,
        state: this.createState(id),
        alive: false,
        startCount: 0,
        sentBytes: 0,
        receivedBytes: 0,
        messages: 0,
        counts: new Map(),
        highestReadySequence: 0,
      });
    }
  }

  private createState(id: string): ProxyState {
    const seeds = this.ids.filter(other => other !== id).slice(0, 2);
    const settings = createSettings(id, {
      seeds: seeds.map(getPeerAddress),
      ...this.changes(id),
    });
    const core = createCoreSettings(settings, getPeerAddress(id), this.at);
    return createProxyState(core);
  }

  get(id: string): Node {
    const node = this.nodes.get(id);
    if (node === undefined) {
      throw new Error(`No proxy ${id}; add it to the fixture.`);
    }
    return node;
  }

  /** Starts or restarts proxies with an empty state. */
  start(...ids: string[]): void {
    for (const id of ids) {
      const node = this.get(id);
      node.alive = true;
      node.startCount += 1;
      node.state = this.createState(id);
      this.reduce(node, {kind: 'started'});
    }
  }

  kill(...ids: string[]): void {
    for (const id of ids) {
      this.get(id).alive = false;
    }
  }

  /** Publishes the first configuration and starts all proxies. */
  boot(patch: Patch = createServicePatch(this.ids)): void {
    this.source.publish(patch, 0);
    this.start(...this.ids);
    this.run(5_000);
  }

  /** Advances the virtual clock and processes everything that becomes due. */
  run(ms: number): void {
    const endAt = this.at + ms;
    while (this.at < endAt) {
      this.at += STEP_MS;
      this.runDueTasks();
      this.answerWatches();
      if ((this.at - START_MS) % TICK_INTERVAL_MS === 0) {
        this.tickAll();
      }
    }
  }

  private tickAll(): void {
    for (const node of this.nodes.values()) {
      if (node.alive) {
        this.reduce(node, {kind: 'tick'});
      }
    }
  }

  /**
   * Advances the virtual clock until a condition holds.
   * @param done - Reports whether the condition holds.
   * @param limitMs - Longest time to wait.
   * @returns The time that passed, or undefined if the limit was reached.
   */
  advanceUntil(done: () => boolean, limitMs = 60_000): number | undefined {
    const startedAt = this.at;
    while (!done()) {
      if (this.at - startedAt >= limitMs) {
        return undefined;
      }
      this.run(STEP_MS);
    }
    return this.at - startedAt;
  }

  isReady(...ids: string[]): boolean {
    return ids.every(id => {
      const {alive, state} = this.get(id);
      return alive && state.startup.ready;
    });
  }

  /** Lists the live proxies that have a watch call pending at the source. */
  getWatchers(): string[] {
    const live = this.pendingWatches.filter(
      ({node, startCount}) => node.alive && node.startCount === startCount,
    );
    return live.map(({node}) => node.id).sort();
  }

  /** Sums a counter over all proxies. */
  count(name: string): number {
    let sum = 0;
    for (const {counts} of this.nodes.values()) {
      sum += counts.get(name) ?? 0;
    }
    return sum;
  }

  /** Reports whether every live proxy has the given version in force. */
  allHaveVersion(version: number): boolean {
    return [...this.nodes.values()].every(
      ({alive, state}) => !alive || state.log.active.version === version,
    );
  }

  /** Gets the version in force by proxy; undefined for proxies not ready. */
  getVersions(): Record<string, number | undefined> {
    return Object.fromEntries(
      this.ids.map(id => [
        id,
        this.isReady(id) ? this.get(id).state.log.active.version : undefined,
      ]),
    );
  }

  reduce(node: Node, body: EventBody): Effect[] {
    this.entropy = (Math.imul(this.entropy, 1_664_525) + 1_013_904_223) >>> 0;
    const event: Event = {...body, at: this.at, entropy: this.entropy};
    const [state, effects] = reduceProxy(node.state, event);
    node.state = state;
    this.checkInvariants(node);
    for (const effect of effects) {
      this.perform(node, effect);
    }
    return [...effects];
  }

  /** Throws if an invariant that holds after every event is violated. */
  private checkInvariants(node: Node): void {
    const {log, startup} = node.state;
    if (!startup.ready) {
      return;
    }
    if (log.active.sequence < node.highestReadySequence) {
      throw new Error(
        `${node.id} went back from sequence ${node.highestReadySequence} to ${log.active.sequence}`,
      );
    }
    node.highestReadySequence = log.active.sequence;
    for (const {service, target} of log.table.routes) {
      if (log.table.services.get(service) !== target) {
        throw new Error(`${node.id} routes to unknown service ${service}`);
      }
    }
  }

  private perform(node: Node, effect: Effect): void {
    if (effect.kind === 'count') {
      const name = `${effect.counter} ${effect.reason}`;
      node.counts.set(name, (node.counts.get(name) ?? 0) + 1);
    } else if (effect.kind === 'askPeer') {
      this.onRequest(node, effect);
      this.sendRequest(node, effect);
    } else if (effect.kind === 'watchSource') {
      this.source.calls += 1;
      const expiresAt = this.at + effect.waitMs;
      this.pendingWatches.push({
        node,
        startCount: node.startCount,
        expiresAt,
        effect,
      });
    }
  }

  private sendRequest(from: Node, {address, request}: AskPeerEffect): void {
    const {startCount} = from;
    const post = (body: EventBody) => {
      if (from.alive && from.startCount === startCount) {
        this.reduce(from, body);
      }
    };
    const fail = () => post({kind: 'peerFailed', address, request});
    const to = this.ids.find(id => getPeerAddress(id) === address);
    from.sentBytes += getMessageSize(request);
    from.messages += 1;
    if (to === undefined || !this.get(to).alive) {
      this.schedule(LATENCY_MS, fail);
    } else if (this.isLinkDown(from.id, to) || this.isRequestLost(request)) {
      this.schedule(LOST_MESSAGE_TIMEOUT_MS, fail);
    } else {
      this.schedule(LATENCY_MS, () => {
        const reply = this.handleRequest(this.get(to), request);
        if (reply === undefined || this.isLinkDown(to, from.id)) {
          this.schedule(LOST_MESSAGE_TIMEOUT_MS, fail);
          return;
        }
        this.schedule(LATENCY_MS, () => {
          from.receivedBytes += getMessageSize(reply);
          from.messages += 1;
          post({kind: 'peerReplied', address, request, reply});
        });
      });
    }
  }

  private handleRequest(to: Node, request: PeerRequest): PeerReply | undefined {
    if (!to.alive) {
      return undefined;
    }
    to.receivedBytes += getMessageSize(request);
    to.messages += 2;
    const effects = this.reduce(to, {
      kind: 'peerAsked',
      requestId: 'r',
      request,
    });
    const answer = effects.find(effect => effect.kind === 'replyPeer');
    if (answer?.kind !== 'replyPeer') {
      return undefined;
    }
    to.sentBytes += getMessageSize(answer.reply);
    return answer.reply;
  }

  private answerWatches(): void {
    const waiting = this.pendingWatches;
    this.pendingWatches = [];
    for (const watch of waiting) {
      const {node, startCount, expiresAt, effect} = watch;
      if (!node.alive || node.startCount !== startCount) {
        continue;
      }
      const {head, vmList, submissions} = this.source;
      if (this.source.down || this.isSourceUnreachable(node.id)) {
        this.reduce(node, {kind: 'sourceFailed', detail: 'down'});
      } else if (
        this.at >= expiresAt ||
        head > effect.afterSequence ||
        vmList.revision > effect.vmRevision ||
        effect.waitMs === 0
      ) {
        this.reduce(node, {
          kind: 'sourceAnswered',
          head,
          submissions: submissions.slice(effect.afterSequence, head),
          vmList: vmList.revision > effect.vmRevision ? vmList : undefined,
        });
      } else {
        this.pendingWatches.push(watch);
      }
    }
  }

  private schedule(ms: number, run: () => void): void {
    this.scheduledTasks.push({dueAt: this.at + ms, run});
  }

  private runDueTasks(): void {
    while (this.scheduledTasks.some(({dueAt}) => dueAt <= this.at)) {
      const due = this.scheduledTasks.filter(({dueAt}) => dueAt <= this.at);
      this.scheduledTasks = this.scheduledTasks.filter(
        ({dueAt}) => dueAt > this.at,
      );
      for (const {run} of due) {
        run();
      }
    }
  }
}

/** Estimates the size of a message with its JSON-RPC envelope, without HTTP. */
export function getMessageSize(message: PeerRequest | PeerReply): number {
  return JSON.stringify(message).length + JSON_RPC_ENVELOPE_BYTES;
}

/** Approximate size of the JSON-RPC envelope. */
const JSON_RPC_ENVELOPE_BYTES = 50;
