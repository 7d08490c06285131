/**
 * A fleet on a virtual clock: real proxy cores with a simulated source, links,
 * upstreams and callers, whose faults depend on a seed. No decision of a proxy
 * is simulated, so every violated invariant is a fault of the core.
 */
import {findUnconfirmed} from '../../../src/core/mesh/caller_presence.js';
import {reduceMesh} from '../../../src/core/mesh/mesh_core.js';
import {addAge} from '../../../src/core/mesh/message_ages.js';
import {MeshState, createMeshState} from '../../../src/core/mesh/mesh_state.js';
import {
  DispatchFailure,
  EvacuationReading,
  MeshCallInfo,
  MeshEffect,
  MeshEventBody,
  PeerMessage,
  SourceRequest,
} from '../../../src/core/mesh/mesh_types.js';
import {
  createPosition,
  getEra,
  getRevision,
} from '../../../src/core/mesh/source_position.js';
import {SeededRandom} from '../../../src/experiments/seeded_random.js';
import {VirtualClock} from '../../../src/experiments/virtual_clock.js';
import {Instance, MeshAttempt, MeshConfig} from '../../../src/model/mesh.js';
import {
  NO_BYTES,
  SETTINGS,
  createConfig,
  createHello,
  createInstance,
} from '../mesh_fixture.js';
import {EvacuationStore} from './evacuation_store.js';
import {InvariantChecker} from './invariant_checker.js';

const TICK_MS = 25;
const LINK_LATENCY_MS = 1;
const SOURCE_LATENCY_MS = 4;

/** Time that the client of the source waits beyond the wait of a long poll. */
const SOURCE_TIMEOUT_MS = 900;

/** Time after which every proxy in touch must have a version; the users' bound. */
const MAX_VERSION_DELAY_MS = 2_500;

/** Share of its JSON text that a compressed message takes on a link. */
const COMPRESSED_SHARE = 0.35;

/** Time after which the transport gives up an attempt on a broken link. */
const TRANSPORT_TIMEOUT_MS = 800;

/** Time from the end of a planned stop to the end of the process. */
const FINAL_WRITES_MS = 150;

const MEAN_WORK_MS = 60;
const SLOTS = 4;
const UPSTREAM_QUEUE_LENGTH = 2;

/** Share of runs whose connection breaks. */
const BROKEN_SHARE = 0.02;
/** Share of runs that are answered with status 500. */
const SERVER_ERROR_SHARE = 0.01;

/** Share of upstreams that start again under the id that they had. */
const SAME_ID_SHARE = 0.5;

/** Headers of simulated answers, from which the checker learns what was passed on. */
export const INSTANCE_HEADER = 'instance';
export const LIMIT_HEADER = 'limit';
export const LEAVING_HEADER = 'leaving';

interface SentAttempt {
  readonly entry: Node;
  /** Start time of the entry's process. */
  readonly startedAt: number;
  readonly owner: Node;
  readonly sentAt: number;
  /** How far behind the entry was with reading its callers' sockets. */
  readonly behindMs: number;
  ended: boolean;
}

/** One VM: an upstream and the proxy beside it. */
export interface Node {
  readonly host: number;
  readonly address: string;
  state: MeshState;
  /** The proxy's process is running. */
  alive: boolean;
  stopAt?: number;
  /** The proxy can reach neither peers nor the source. */
  partitioned: boolean;
  /** When its latest partition began. */
  partitionedAt: number;
  /** The upstream's current registration at the source. */
  instance: Instance;
  /** The source lists the upstream. */
  registered: boolean;
  upstreamDown: boolean;
  /** Requests per second that the upstream names as its limit. */
  limitPerSecond?: number;
  /** The upstream reports in its answers that it is leaving. */
  leaving: boolean;
  readonly runs: Set<string>;
  /** Until then the process stands still; its events wait. */
  frozenUntil: number;
  /** Time from the arrival of a call or an attempt to its reading. */
  readDelayMs: number;
  /** When the latest of them is read; they are read in order. */
  readUntil: number;
  /** Those that are not read yet, in order. */
  unread: UnreadInput[];
  /** When the latest fault of this VM or of its reads ends. */
  disturbedUntil: number;
  /** The source refuses its reads. */
  refused: boolean;
  /** The source gives its reads no answer, those in progress included. */
  silentSource: boolean;
  /** When it last began to wait for the next configuration. */
  lastPolledAt: number;
  /** Its long polls get no answer. */
  unansweredPolls: boolean;
  /** Peers whose messages to this proxy are lost, without a closed connection. */
  readonly silentPeers: Set<Node>;
  /** Bandwidth of its connection to the network; undefined: unlimited. */
  linkMbps?: number;
  /** When the bytes that are on their way to and from the VM have passed. */
  receivesUntil: number;
  sendsUntil: number;
}

/** A call, an attempt or their end in a socket of a process. */
interface UnreadInput {
  readonly arrivedAt: number;
  create(): MeshEventBody;
}

/** A long poll that waits for the next configuration. */
interface PendingPoll {
  readonly node: Node;
  readonly state: MeshState;
  readonly request: Extract<SourceRequest, {kind: 'nextConfig'}>;
}

/** Optional properties of a simulated fleet. */
export interface FleetOptions {
  readonly zones?: readonly string[];
  /**
   * When the first and the last upstream register, in milliseconds after the start;
   * undefined: all have registered before the fleet starts.
   */
  readonly registration?: {readonly firstMs: number; readonly lastMs: number};
  /** Size of a whole configuration as the source sends it. */
  readonly documentBytes?: number;
  /** The same on a link between two proxies. */
  readonly compressedBytes?: number;
  /** Runs that take far longer than most; absent: none. */
  readonly slowRuns?: {readonly share: number; readonly ms: number};
}

/** How long a proxy took to adopt a version, or to learn of a drain. */
export interface Lag {
  readonly host: number;
  readonly subject: string;
  readonly ms: number;
}

export class SimulatedFleet {
  readonly clock = new VirtualClock(1_000);
  readonly nodes: Node[] = [];
  readonly checker = new InvariantChecker();
  readonly evacuations = new EvacuationStore();
  config: MeshConfig = createConfig(1);
  sourceUp = true;
  /** Until then no long poll hears of changes. */
  private mutedUntil = 0;
  /** The source has discarded its history before this revision. */
  private historyStart = 0;
  private revision = 10;
  private configRevision = 10;
  private readonly pendingPolls = new Set<PendingPoll>();
  /** Revision and time of each version. */
  private readonly published = new Map<
    number,
    {revision: number; readonly at: number}
  >();
  private readonly drainedAt = new Map<string, number>();
  private readonly removedAt = new Map<string, number>();
  readonly lags: Lag[] = [];
  /** Reads of the source, by kind. */
  readonly sourceCalls = new Map<string, number>();
  /** Is told of each effect before it is performed. */
  onEffect?: (host: number, effect: MeshEffect) => void;
  private readonly attempts = new Map<string, SentAttempt>();
  private readonly requests = new Map<string, MeshAttempt>();

  constructor(
    readonly chance: SeededRandom,
    nodeCount: number,
    private readonly options: FleetOptions = {},
  ) {
    const {zones = ['north', 'south'], registration} = options;
    for (let host = 1; host <= nodeCount; host += 1) {
      const zone = zones[host % zones.length];
      const instance = createInstance(host, {
        zone,
        slots: SLOTS,
        incarnation: host,
        registeredAt: host,
      });
      const node: Node = {
        host,
        address: `10.0.0.${host}:7000`,
        state: this.createState(host, zone),
        alive: true,
        partitioned: false,
        partitionedAt: -Infinity,
        instance,
        registered: registration === undefined,
        upstreamDown: false,
        leaving: false,
        runs: new Set(),
        frozenUntil: 0,
        readDelayMs: 0,
        readUntil: 0,
        unread: [],
        disturbedUntil: 0,
        refused: false,
        silentSource: false,
        lastPolledAt: -Infinity,
        unansweredPolls: false,
        silentPeers: new Set(),
        receivesUntil: 0,
        sendsUntil: 0,
      };
      this.nodes.push(node);
      this.startTicks(node);
    }
    if (registration !== undefined) {
      const {firstMs, lastMs} = registration;
      for (const node of this.nodes) {
        const ms = firstMs + (lastMs - firstMs) * chance.getFraction();
        this.after(ms, () => this.registerFirst(node));
      }
    }
  }

  private registerFirst(node: Node): void {
    this.revision += 1;
    node.registered = true;
    node.instance = {...node.instance, registeredAt: this.revision};
  }

  private createState(host: number, zone: string): MeshState {
    return createMeshState({
      ...SETTINGS,
      address: `10.0.0.${host}:7000`,
      upstreamAddress: `10.0.0.${host}:8000`,
      zone,
      startedAt: this.clock.now + 1,
    });
  }

  private startTicks(node: Node): void {
    const {state} = node;
    const tick = () => {
      if (node.alive && node.state === state) {
        this.confirmCallers(node);
        this.post(node, {kind: 'tick', linkBytes: NO_BYTES});
        this.after(Math.max(TICK_MS, node.frozenUntil - this.clock.now), tick);
      }
    };
    this.after(this.chance.getFraction() * TICK_MS, tick);
  }

  /** Passes an event to a proxy's core and performs the resulting effects. */
  post(node: Node, body: MeshEventBody): void {
    if (!node.alive) {
      return;
    }
    const at = this.clock.now;
    if (at < node.frozenUntil) {
      return this.postLater(node, node.frozenUntil - at, body);
    }
    if (body.kind === 'callArrived') {
      const {timeoutMs = Infinity} = body.call;
      this.checker.recordRead(body.callId, at + timeoutMs);
    }
    const before = node.state.config?.version;
    const entropy = this.chance.getUint32();
    const [, effects] = reduceMesh(node.state, {...body, at, entropy});
    effects.forEach(effect => this.performEffect(node, effect));
    this.checker.recordVersion(node, at);
    this.recordLag(node, before, node.state.config?.version);
  }

  /** Records how late a proxy adopted each version up to a new one. */
  private recordLag(
    node: Node,
    before: number | undefined,
    after: number | undefined,
  ): void {
    if (before === undefined || after === undefined) {
      return;
    }
    for (let version = before + 1; version <= after; version += 1) {
      const {at = this.clock.now} = this.published.get(version) ?? {};
      this.addLag(node, `version ${version}`, at);
    }
  }

  private addLag(node: Node, subject: string, since: number): void {
    const ms = this.clock.now - Math.max(since, node.disturbedUntil);
    this.lags.push({host: node.host, subject, ms: Math.max(0, ms)});
  }

  /** Records the lag so far of all proxies that lack the latest version or a drain. */
  recordMissing(): void {
    for (const node of this.nodes) {
      const {version = 0} = node.state.config ?? {};
      if (node.alive && this.clock.now >= node.frozenUntil) {
        this.recordLag(node, version, this.config.version);
        for (const [id, since] of this.drainedAt) {
          if (node.state.fleet.instances.get(id)?.state === 'ready') {
            this.addLag(node, `drain of ${id}`, since);
          }
        }
        for (const [id, since] of this.removedAt) {
          if (node.state.fleet.instances.has(id)) {
            this.addLag(node, `removal of ${id}`, since);
          }
        }
      }
    }
  }

  /** Runs a function after a delay. */
  after(ms: number, run: () => void): void {
    this.clock.schedule(this.clock.now + ms, run);
  }

  /** Posts an event after a delay, unless the process has been replaced. */
  private postLater(node: Node, ms: number, body: MeshEventBody): void {
    const {state} = node;
    this.after(ms, () => {
      if (node.state === state) {
        this.post(node, body);
      }
    });
  }

  /** Lets a process read a call or an attempt as late as it reads its sockets. */
  private read(node: Node, ms: number, create: () => MeshEventBody): void {
    const {state, unread} = node;
    const {clock} = this;
    const arrivedAt = clock.now + ms;
    unread.push({arrivedAt, create});
    node.readUntil = Math.max(node.readUntil, arrivedAt + node.readDelayMs);
    const readNext = () => {
      if (node.state !== state) {
        return;
      }
      if (clock.now < node.frozenUntil) {
        clock.schedule(node.frozenUntil, readNext);
        return;
      }
      const next = unread.shift();
      if (next !== undefined) {
        this.post(node, next.create());
      }
    };
    clock.schedule(node.readUntil, readNext);
  }

  /** Delivers a call to a process's socket. */
  sendCall(node: Node, callId: string, call: MeshCallInfo): void {
    this.read(node, 0, () => ({kind: 'callArrived', callId, call}));
  }

  /** Closes the connection of a caller. */
  leave(node: Node, callId: string): void {
    this.checker.recordDeparture(callId, this.clock.now);
    this.read(node, 0, () => ({kind: 'callerGone', callId}));
  }

  /** Gets how far behind a process is with reading. */
  private getBehindMs({unread: [oldest]}: Node): number {
    const {arrivedAt = this.clock.now} = oldest ?? {};
    return Math.max(0, this.clock.now - arrivedAt);
  }

  /** Asks the entries of waiting attempts for their callers, as the links do. */
  private confirmCallers(node: Node): void {
    const {now} = this.clock;
    if (now < node.frozenUntil) {
      return;
    }
    for (const attemptId of findUnconfirmed(node.state.work, now)) {
      const sent = this.attempts.get(attemptId);
      if (sent?.entry === node) {
        const unconfirmedMs = new Map([[attemptId, this.getBehindMs(node)]]);
        this.post(node, {kind: 'callersConfirmed', unconfirmedMs});
      } else if (sent !== undefined) {
        this.after(LINK_LATENCY_MS, () => this.answerFor(attemptId, sent));
      }
    }
  }

  /** Lets an entry answer for the caller of an attempt. */
  private answerFor(attemptId: string, sent: SentAttempt): void {
    const {entry, owner} = sent;
    if (!this.isAnswering(owner, sent)) {
      return;
    }
    const readUntil = this.clock.now - this.getBehindMs(entry);
    this.read(owner, LINK_LATENCY_MS, () => ({
      kind: 'callersConfirmed',
      unconfirmedMs: new Map([[attemptId, this.clock.now - readUntil]]),
    }));
  }

  private isAnswering(
    owner: Node,
    {entry, startedAt, sentAt}: SentAttempt,
  ): boolean {
    // A partition ends the links, and with them what could still be confirmed.
    return (
      entry.alive &&
      entry.state.settings.startedAt === startedAt &&
      this.clock.now > entry.frozenUntil &&
      this.isReachable(entry, owner) &&
      sentAt > Math.max(entry.partitionedAt, owner.partitionedAt)
    );
  }

  private isReachable(from: Node, to: Node): boolean {
    return to.alive && (from === to || (!from.partitioned && !to.partitioned));
  }

  private performEffect(node: Node, effect: MeshEffect): void {
    this.onEffect?.(node.host, effect);
    switch (effect.kind) {
      case 'readSource':
        return this.readSource(node, effect.request);
      case 'openLink':
        return this.openLink(node, effect.to);
      case 'sendMessage': {
        const to = this.findNode(effect.to);
        const {message, config} = effect;
        if (to !== undefined && this.isReachable(node, to)) {
          const ms = this.getTransferMs(node, to, message, config);
          if (to.silentPeers.has(node)) {
            return;
          }
          this.deliver(node, to, LINK_LATENCY_MS + ms, message, config);
        }
        return;
      }
      case 'log':
        if (effect.message === 'Upstream draining.') {
          const id = String(effect.fields.instance);
          const since = this.drainedAt.get(id);
          if (since !== undefined) {
            this.addLag(node, `drain of ${id}`, since);
          }
        }
        if (effect.message === 'Upstream removed.') {
          const id = String(effect.fields.instance);
          const since = this.removedAt.get(id);
          if (since !== undefined) {
            this.addLag(node, `removal of ${id}`, since);
          }
        }
        return;
      case 'sendAttempt':
        return this.sendAttempt(node, effect.to, effect.attempt);
      case 'cancelAttempt': {
        const sent = this.attempts.get(effect.attemptId);
        if (sent !== undefined) {
          sent.ended = true;
          const {attemptId} = effect;
          const cancelled = {kind: 'attemptCancelled', attemptId} as const;
          if (sent.owner === node) {
            this.postLater(node, 0, cancelled);
          } else if (this.isReachable(node, sent.owner)) {
            this.read(sent.owner, LINK_LATENCY_MS, () => cancelled);
          }
        }
        return;
      }
      case 'answerCall': {
        const {callId, result} = effect;
        this.checker.recordPassedReport(node, result, this.clock.now);
        return this.checker.recordResult(callId, result, this.clock.now);
      }
      case 'finishAttempt':
        return this.reportOutcome(effect.attemptId, {
          kind: 'attemptEnded',
          attemptId: effect.attemptId,
          outcome: effect.outcome,
        });
      case 'dispatch':
        return this.runAtUpstream(node, effect);
      case 'abortDispatch':
        node.runs.delete(effect.attemptId);
        return this.postLater(node, 0, {
          kind: 'upstreamFailed',
          attemptId: effect.attemptId,
          failure: 'timeout',
        });
      case 'probeConnect':
        return this.postLater(node, LINK_LATENCY_MS, {
          kind: 'connectProbed',
          accepted: !node.upstreamDown,
        });
      case 'stopped':
        return this.endAfterFinalWrites(node);
      default:
        return;
    }
  }

  /**
   * Delivers a message after a delay. A process that stands still reads it later, and
   * knows from its links how long it was on its way.
   */
  private deliver(
    from: Node,
    to: Node,
    ms: number,
    message: PeerMessage,
    config: MeshConfig | undefined,
  ): void {
    const {state} = to;
    const sentAt = this.clock.now;
    const read = () => {
      const {now} = this.clock;
      if (to.state !== state) {
        return;
      }
      if (now < to.frozenUntil) {
        this.after(to.frozenUntil - now, read);
        return;
      }
      this.post(to, {
        kind: 'messageReceived',
        from: from.address,
        message: addAge(message, now - sentAt - LINK_LATENCY_MS),
        config,
      });
    };
    this.after(ms, read);
  }

  /** Ends a stopped process as late as its runtime, which writes last answers. */
  private endAfterFinalWrites(node: Node): void {
    const {state} = node;
    this.after(FINAL_WRITES_MS, () => {
      if (node.alive && node.state === state) {
        this.checker.recordShutdown(node, this.clock.now);
        this.endProcess(node);
      }
    });
  }

  private findNode(address: string): Node | undefined {
    const host = Number(address.slice('10.0.0.'.length, address.indexOf(':')));
    return this.nodes[host - 1];
  }

  private openLink(node: Node, address: string): void {
    const to = this.findNode(address);
    if (to !== undefined && this.isReachable(node, to)) {
      this.sendHello(node, to);
      this.sendHello(to, node);
    }
  }

  private sendHello(from: Node, to: Node): void {
    const {settings, config, fleet, leaving} = from.state;
    const {linkMbps} = settings;
    this.postLater(to, LINK_LATENCY_MS, {
      kind: 'messageReceived',
      from: from.address,
      message: createHello({
        address: from.address,
        zone: settings.zone,
        incarnation: settings.startedAt,
        version: config?.version ?? 0,
        revision: fleet.revision,
        leaving,
        linkMbps,
      }),
    });
  }

  /** Time until a message has passed the links of both VMs. */
  private getTransferMs(
    from: Node,
    to: Node,
    message: PeerMessage,
    config: MeshConfig | undefined,
  ): number {
    if (from.linkMbps === undefined && to.linkMbps === undefined) {
      return 0;
    }
    const {compressedBytes = 0} = this.options;
    const bytes =
      JSON.stringify(message).length * COMPRESSED_SHARE +
      (config === undefined ? 0 : compressedBytes);
    const {now} = this.clock;
    from.sendsUntil =
      Math.max(from.sendsUntil, now) + getSendMs(bytes, from.linkMbps);
    return Math.max(from.sendsUntil - now, this.receive(to, bytes));
  }

  /** Occupies the incoming link of a VM; returns when the bytes are through. */
  private receive(node: Node, bytes: number): number {
    const {now} = this.clock;
    node.receivesUntil =
      Math.max(node.receivesUntil, now) + getSendMs(bytes, node.linkMbps);
    return node.receivesUntil - now;
  }

  private readSource(node: Node, request: SourceRequest): void {
    const {kind} = request;
    this.sourceCalls.set(kind, (this.sourceCalls.get(kind) ?? 0) + 1);
    if (!this.sourceUp || node.partitioned || node.refused) {
      return this.failRead(node, request, 50);
    }
    if (node.silentSource) {
      if (request.kind === 'nextConfig') {
        node.lastPolledAt = this.clock.now;
      }
      return this.failRead(node, request, getTimeoutMs(request));
    }
    switch (request.kind) {
      case 'fleet': {
        const instances = this.nodes
          .filter(({registered}) => registered)
          .map(({instance}) => instance);
        const {revision} = this;
        const answer = {kind: 'fleet', revision, instances} as const;
        const event = {kind: 'sourceAnswered', request, answer} as const;
        return this.postLater(node, SOURCE_LATENCY_MS, event);
      }
      case 'config':
        return this.sendConfig(
          node,
          request,
          1,
          this.revision,
          this.evacuations.read(this.revision),
        );
      case 'nextConfig':
        return this.pollConfig({node, state: node.state, request});
    }
  }

  private failRead(node: Node, request: SourceRequest, ms: number): void {
    this.postLater(node, ms, {kind: 'sourceFailed', request, detail: 'down'});
  }

  /** Delivers the configuration after the transfer of a number of documents. */
  private sendConfig(
    node: Node,
    request: SourceRequest,
    documents: number,
    revision: number,
    evacuations: EvacuationReading,
  ): void {
    const config = documents > 0 ? this.config : undefined;
    const {documentBytes = 0} = this.options;
    const ms = this.receive(node, documents * documentBytes);
    this.postLater(node, SOURCE_LATENCY_MS + ms, {
      kind: 'sourceAnswered',
      request,
      answer: {kind: 'config', revision, config, evacuations},
    });
  }

  private pollConfig(poll: PendingPoll): void {
    const {node, request} = poll;
    node.lastPolledAt = this.clock.now;
    if (node.unansweredPolls) {
      return this.failRead(node, request, getTimeoutMs(request));
    }
    if (request.after < this.historyStart) {
      const answer = {kind: 'compacted'} as const;
      const event = {kind: 'sourceAnswered', request, answer} as const;
      return this.postLater(node, SOURCE_LATENCY_MS, event);
    }
    if (this.clock.now >= this.mutedUntil && this.answerPoll(poll)) {
      return;
    }
    this.pendingPolls.add(poll);
    this.after(request.waitMs, () => {
      if (this.pendingPolls.delete(poll) && node.state === poll.state) {
        const nothing = this.evacuations.readAfter(Infinity, this.revision);
        this.sendConfig(node, request, 0, this.revision, nothing);
      }
    });
  }

  /** Lets the source give a proxy no answers, also to what it is asked already. */
  silenceSource(node: Node, ms: number): void {
    node.silentSource = true;
    for (const poll of [...this.pendingPolls]) {
      if (poll.node === node) {
        this.pendingPolls.delete(poll);
        this.failRead(node, poll.request, getTimeoutMs(poll.request));
      }
    }
    this.after(ms, () => (node.silentSource = false));
  }

  /** Answers a poll with all that changed after its position, if anything did. */
  private answerPoll({node, request, state}: PendingPoll): boolean {
    const versions = [...this.published.values()].filter(
      ({revision}) => revision > request.after,
    );
    const hasVersion =
      versions.length > 0 || this.configRevision > request.after;
    const revision = hasVersion ? this.configRevision : this.revision;
    const evacuations = this.evacuations.readAfter(request.after, revision);
    const isKnown = hasVersion || evacuations.changes.length > 0;
    if (isKnown && node.state === state) {
      const documents = hasVersion ? Math.max(1, versions.length) : 0;
      this.sendConfig(node, request, documents, revision, evacuations);
    }
    return isKnown;
  }

  /**
   * Lets no long poll hear of changes for a time; then they are cut, and the
   * source has discarded its history.
   */
  mutePolls(ms: number): void {
    this.mutedUntil = this.clock.now + ms;
    this.after(ms, () => {
      this.historyStart = this.revision;
      this.cutPolls();
    });
  }

  private cutPolls(): void {
    for (const poll of this.pendingPolls) {
      this.failRead(poll.node, poll.request, 0);
    }
    this.pendingPolls.clear();
  }

  /** Lets a process stand still. */
  freeze(node: Node, ms: number): void {
    node.frozenUntil = Math.max(node.frozenUntil, this.clock.now + ms);
    this.disturb(node, ms);
  }

  /** Records that a VM, its process or its reads are disturbed for a time. */
  disturb(node: Node, ms: number): void {
    const until = this.clock.now + ms;
    node.disturbedUntil = Math.max(node.disturbedUntil, until);
  }

  private sendAttempt(
    entry: Node,
    to: string | undefined,
    attempt: MeshAttempt,
  ): void {
    const {attemptId} = attempt;
    const owner = to === undefined ? entry : this.findNode(to);
    if (owner === undefined || !owner.alive) {
      const event = {kind: 'attemptLost', attemptId, sent: false} as const;
      return this.postLater(entry, LINK_LATENCY_MS, event);
    }
    const {startedAt} = entry.state.settings;
    const sentAt = this.clock.now;
    const behindMs = this.getBehindMs(entry);
    const sent = {entry, startedAt, owner, sentAt, behindMs, ended: false};
    this.attempts.set(attemptId, sent);
    this.requests.set(attemptId, attempt);
    if (entry === owner) {
      const unconfirmedMs = behindMs;
      const event = {kind: 'attemptArrived', attempt, unconfirmedMs} as const;
      this.postLater(owner, 0, event);
    } else if (this.isReachable(entry, owner)) {
      this.read(owner, LINK_LATENCY_MS, () => {
        const ageMs = this.clock.now - sentAt;
        const unconfirmedMs = ageMs + behindMs;
        return {kind: 'attemptArrived', attempt, ageMs, unconfirmedMs};
      });
    } else {
      this.reportLost(attemptId, TRANSPORT_TIMEOUT_MS);
    }
  }

  private reportLost(attemptId: string, ms: number): void {
    this.after(ms, () =>
      this.reportOutcome(attemptId, {
        kind: 'attemptLost',
        attemptId,
        sent: true,
      }),
    );
  }

  /** Reports to the entry how its attempt ended, or its loss if unreachable. */
  private reportOutcome(attemptId: string, event: MeshEventBody): void {
    const sent = this.attempts.get(attemptId);
    if (sent === undefined || sent.ended) {
      return;
    }
    const {entry, owner, startedAt} = sent;
    if (event.kind === 'attemptEnded' && !this.isReachable(owner, entry)) {
      return this.reportLost(attemptId, TRANSPORT_TIMEOUT_MS);
    }
    sent.ended = true;
    if (entry.alive && entry.state.settings.startedAt === startedAt) {
      this.postLater(entry, LINK_LATENCY_MS, event);
    }
  }

  private runAtUpstream(
    node: Node,
    {
      attemptId,
      instanceId,
      timeoutMs,
    }: {
      readonly attemptId: string;
      readonly instanceId: string;
      readonly timeoutMs: number;
    },
  ): void {
    const {instance, runs} = node;
    const fail = (ms: number, failure: DispatchFailure) =>
      this.postLater(node, ms, {kind: 'upstreamFailed', attemptId, failure});
    const answer = (ms: number, status: number, facts: object = {}) => {
      const {limitPerSecond, leaving} = node;
      const report = {limitPerSecond, leaving};
      this.postLater(node, ms, {
        kind: 'upstreamAnswered',
        attemptId,
        answer: {
          kind: 'answer',
          status,
          headers: {
            [INSTANCE_HEADER]: instance.id,
            ...(report.leaving ? {[LEAVING_HEADER]: '1'} : {}),
            ...(limitPerSecond === undefined
              ? {}
              : {[LIMIT_HEADER]: String(limitPerSecond)}),
          },
          body: new Uint8Array(0),
        },
        facts: {notRun: false, otherInstance: false, report, ...facts},
      });
    };
    if (node.upstreamDown) {
      return fail(LINK_LATENCY_MS, 'connect');
    }
    if (instance.id !== instanceId) {
      return answer(LINK_LATENCY_MS, 421, {notRun: true, otherInstance: true});
    }
    const {entry} = this.attempts.get(attemptId)!;
    const request = this.requests.get(attemptId)!;
    this.checker.recordArrival(request, node, entry, this.clock.now);
    if (runs.size >= SLOTS + UPSTREAM_QUEUE_LENGTH) {
      return answer(LINK_LATENCY_MS, 503, {notRun: true});
    }
    const at = this.clock.now;
    this.checker.recordRun(request, node, at);
    runs.add(attemptId);
    const workMs = this.drawWorkMs();
    const endMs = Math.min(workMs, timeoutMs);
    this.after(endMs, () => {
      if (!runs.delete(attemptId)) {
        return;
      }
      const draw = this.chance.getFraction();
      if (workMs > timeoutMs) {
        fail(0, 'timeout');
      } else if (draw < BROKEN_SHARE) {
        // Half of them after the head of the answer.
        fail(0, draw < BROKEN_SHARE / 2 ? 'reset' : 'truncated');
      } else {
        answer(0, draw < BROKEN_SHARE + SERVER_ERROR_SHARE ? 500 : 200);
      }
    });
  }

  private drawWorkMs(): number {
    const {slowRuns} = this.options;
    return slowRuns !== undefined && this.chance.getFraction() < slowRuns.share
      ? slowRuns.ms
      : this.chance.getExponential(MEAN_WORK_MS);
  }

  /** Publishes the next version of the configuration. */
  publish(): void {
    this.config = createConfig(this.config.version + 1);
    this.revision += 1;
    this.configRevision = this.revision;
    const {revision, clock} = this;
    const {version} = this.config;
    this.published.set(version, {revision, at: clock.now});
    this.after(MAX_VERSION_DELAY_MS, () =>
      this.checker.checkVersions(this.nodes, version, clock.now),
    );
    this.notifyPolls();
  }

  /** Evacuates a zone or takes it back. */
  evacuate(zone: string, evacuated: boolean): void {
    this.revision += 1;
    this.evacuations.set(zone, evacuated, this.revision);
    this.checker.recordEvacuation(zone, evacuated, this.clock.now);
    this.notifyPolls();
  }

  getRevision(): number {
    return this.revision;
  }

  /**
   * Restores the source from a copy that has all versions and registrations, but only
   * the evacuations up to a revision. Waiting polls are cut.
   */
  restore(copyRevision: number): void {
    const era = getEra(this.revision) + 1;
    const move = (position: number) =>
      createPosition(era, getRevision(position));
    this.evacuations.restore(copyRevision, era);
    this.revision = move(this.revision);
    this.configRevision = move(this.configRevision);
    this.historyStart = this.revision;
    for (const version of this.published.values()) {
      version.revision = move(version.revision);
    }
    for (const node of this.nodes) {
      const registeredAt = move(node.instance.registeredAt);
      node.instance = {...node.instance, registeredAt};
    }
    this.cutPolls();
  }

  private notifyPolls(): void {
    if (this.clock.now < this.mutedUntil) {
      return;
    }
    for (const poll of [...this.pendingPolls]) {
      this.pendingPolls.delete(poll);
      this.answerPoll(poll);
    }
  }

  /** Updates an upstream's registration at the source. */
  register(node: Node, changes: Partial<Instance>): void {
    const heartbeat = node.instance.heartbeat + 1;
    node.instance = {...node.instance, heartbeat, ...changes};
    if (changes.state === 'draining') {
      this.drainedAt.set(node.instance.id, this.clock.now);
    }
    this.revision += 1;
  }

  /** Removes an upstream's registration without a drain; the upstream serves on. */
  deregister(node: Node): void {
    node.registered = false;
    this.removedAt.set(node.instance.id, this.clock.now);
    this.revision += 1;
  }

  /** Lets each upstream that is registered and runs renew its registration. */
  startHeartbeats(intervalMs: number): void {
    for (const node of this.nodes) {
      const beat = () => {
        if (node.registered && !node.upstreamDown && this.sourceUp) {
          this.register(node, {});
        }
        this.after(intervalMs, beat);
      };
      this.after(intervalMs * this.chance.getFraction(), beat);
    }
  }

  /** Names, changes or ends the rate limit of an upstream. */
  setLimit(node: Node, perSecond: number | undefined): void {
    node.limitPerSecond = perSecond;
    this.checker.recordLimit(node, perSecond, this.clock.now);
  }

  /**
   * Crashes an upstream; another process, which knows nothing of this one,
   * replaces it after a delay.
   */
  crash(node: Node, restartAfterMs: number): void {
    node.upstreamDown = true;
    this.setLimit(node, undefined);
    for (const attemptId of [...node.runs]) {
      node.runs.delete(attemptId);
      const failure = 'reset';
      this.postLater(node, 0, {kind: 'upstreamFailed', attemptId, failure});
    }
    this.after(restartAfterMs, () => {
      const incarnation = node.instance.incarnation + 1_000;
      const keepsId = this.chance.getFraction() < SAME_ID_SHARE;
      const id = keepsId ? node.instance.id : `i-${node.host}-${incarnation}`;
      node.leaving = false;
      this.checker.recordUpstreamStart(id);
      this.register(node, {id, incarnation, state: 'ready'});
      node.upstreamDown = false;
    });
  }

  /** Kills a proxy; a process without its state replaces it after a delay. */
  kill(node: Node, restartAfterMs: number): void {
    this.endProcess(node);
    this.disturb(node, restartAfterMs);
    node.frozenUntil = 0;
    this.after(restartAfterMs, () => {
      if (node.alive) {
        // The restart that belongs to another fault came first.
        return;
      }
      node.state = this.createState(node.host, node.state.settings.zone);
      node.alive = true;
      node.stopAt = undefined;
      node.readUntil = 0;
      node.unread = [];
      this.checker.recordProcessStart(node);
      this.startTicks(node);
    });
  }

  /** Requests the graceful shutdown of a proxy. */
  stop(node: Node): void {
    node.stopAt = this.clock.now;
    this.post(node, {kind: 'stopRequested'});
  }

  private endProcess(node: Node): void {
    node.alive = false;
    node.runs.clear();
    this.checker.recordProcessEnd(node);
    for (const peer of this.nodes) {
      const {address} = node;
      this.postLater(peer, LINK_LATENCY_MS, {kind: 'linkClosed', address});
    }
    for (const [attemptId, {owner, ended}] of this.attempts) {
      if (owner === node && !ended) {
        this.reportLost(attemptId, LINK_LATENCY_MS);
      }
    }
  }
}

/** Gets the time after which a read without an answer fails. */
function getTimeoutMs(request: SourceRequest): number {
  const waitMs = request.kind === 'nextConfig' ? request.waitMs : 0;
  return waitMs + SOURCE_TIMEOUT_MS;
}

/** Time that bytes take on a link; 0 where its bandwidth is unlimited. */
function getSendMs(bytes: number, mbps: number | undefined): number {
  return mbps === undefined ? 0 : (bytes * 8) / (mbps * 1_000);
}
