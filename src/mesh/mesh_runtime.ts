/** Connects the core of a fleet proxy to sockets, timers and logs. */
import {setTimeout as sleep} from 'node:timers/promises';
import {isDeepStrictEqual} from 'node:util';
import {brotliCompressSync, brotliDecompressSync, constants} from 'node:zlib';
import {getEvacuatedZones} from '../core/mesh/evacuations.js';
import {getColdRate} from '../core/mesh/cold_limit.js';
import {reduceMesh} from '../core/mesh/mesh_core.js';
import {addAge} from '../core/mesh/message_ages.js';
import {MeshSettings} from '../core/mesh/mesh_settings.js';
import {
  MeshState,
  createMeshState,
  isReady,
  isUpstreamLeaving,
} from '../core/mesh/mesh_state.js';
import {
  MeshEffect,
  MeshEventBody,
  PeerMessage,
  SourceRequest,
} from '../core/mesh/mesh_types.js';
import {SHORT_TICK_MS, getNextDueAt} from '../core/mesh/next_due.js';
import {DEFAULT_POLICY} from '../core/policy.js';
import {
  CallerLimits,
  Hello,
  LinkMessage,
  MeshConfig,
  MeshConfigSchema,
} from '../model/mesh.js';
import {MeshSettingsFile} from '../model/mesh_settings.js';
import {parseAddress} from '../proxy/addresses.js';
import {findRouteOrRefusal} from '../core/mesh/create_call.js';
import {Refusal} from '../core/refusals.js';
import {MemoryBudget} from '../proxy/memory_budget.js';
import {createMemoryBudget} from '../proxy/memory_limits.js';
import {findUnconfirmed} from '../core/mesh/caller_presence.js';
import {Clock, SystemClock} from '../proxy/clock.js';
import {CoreLoop} from '../proxy/core_loop.js';
import {Listener, listen, stopAccepting} from '../proxy/listener.js';
import {ReceiveLimits} from '../proxy/receive_timeouts.js';
import {AttemptTransport} from './attempt_transport.js';
import {BodyGrants} from './body_grants.js';
import {BodyPacer} from './body_pacer.js';
import {BoundedLog} from './bounded_log.js';
import {FleetSource, SourceListener} from './fleet_source.js';
import {Link} from './link.js';
import {LinkManager} from './link_manager.js';
import {MeshCallerHandler} from './mesh_caller_handler.js';
import {GaugeValues, MeshMetrics} from './mesh_metrics.js';
import {RouteMetrics} from './route_metrics.js';
import {
  handleOperatorRequest,
  handleReadinessRequest,
} from './operator_handlers.js';
import {MessageCodec} from './message_codec.js';
import {MeshUpstreamClient} from './mesh_upstream_client.js';
import {StallDetector} from './stall_detector.js';
import {HeaderNames} from './header_names.js';
import {TurnClock} from './turn_clock.js';

/** Limits until a configuration sets them. */
const DEFAULT_RECEIVE_TIMEOUT_MS = 10_000;
const DEFAULT_MAX_HEADER_BYTES = 65_536;

/** Largest head, relative to the names and values of its fields, which are limited. */
const HEAD_FRAMING_FACTOR = 2;

/** Limit on caller connections, well below the VM's file descriptor limit. */
const MAX_CALLER_CONNECTIONS = 2_048;
const MAX_OPERATOR_CONNECTIONS = 32;

/**
 * Time between the end of a planned stop and the closing of the sockets: the last
 * responses are written, and what peers sent before they were told is refused.
 */
const FINAL_WRITES_MS = 150;

/** Time left for the exit once nothing is waited for any more. */
const EXIT_RESERVE_MS = 150;
const WRITE_CHECK_INTERVAL_MS = 20;

/** Platform-specific parts of a proxy, provided by an adapter. */
export interface MeshAdapter {
  readonly headerNames: HeaderNames;
  /**
   * Separates, in the identifier of a nested request, the parent request's
   * identifier from the rest.
   */
  readonly nestedSeparator: string;
  /**
   * Further headers that most answers carry. They are added to the compression
   * dictionary.
   */
  readonly commonHeaders: readonly string[];
  /** Path of the platform's readiness check. */
  readonly readyPath: string;
  /** Creates the client of the platform's source. */
  createSource(address: string, listener: SourceListener): FleetSource;
}

/** Events after which something may be due before the pending tick. */
const ADDS_DUE_TIMES: ReadonlySet<MeshEventBody['kind']> = new Set([
  'callArrived',
  'attemptArrived',
  'attemptEnded',
  'attemptLost',
  'upstreamFailed',
  'connectProbed',
  'stopRequested',
]);

/**
 * Interval of the readings as a share of the time in which a drain must be known and a
 * version in force: a reading may fail twice, and its update takes two hops.
 */
const READ_INTERVAL_SHARE = 0.3;

/**
 * Age of the list at which every proxy reads it, as a share of the same time. The rest is
 * for the reading itself on a busy VM.
 */
const MAX_LIST_AGE_SHARE = 0.7;

type Loop = CoreLoop<MeshState, MeshEventBody, MeshEffect>;

/** A running proxy: performs the effects of its core and posts events to it. */
export class MeshRuntime {
  private readonly clock: Clock = new SystemClock();
  private readonly turns = new TurnClock(
    () => this.clock.now(),
    () => this.tickAt,
  );
  private readonly stalls = new StallDetector(() => {
    const {user, system} = process.cpuUsage();
    return (user + system) / 1_000;
  });
  private readonly metrics = new MeshMetrics(() => this.getGaugeValues());
  private readonly routeMetrics = new RouteMetrics(this.metrics.registry, () =>
    this.loop.state.work.queue.map(({attempt}) => attempt.route),
  );
  private readonly log: BoundedLog;
  private readonly memory: MemoryBudget;
  private readonly pacer = new BodyPacer(
    () => this.settings.linkMbps,
    waitedMs => this.metrics.observe('link_wait_seconds', waitedMs / 1_000),
  );
  private readonly grants = new BodyGrants(() => this.settings.linkMbps);
  private readonly links: LinkManager;
  private readonly attempts: AttemptTransport;
  private readonly callers: MeshCallerHandler;
  private readonly upstream: MeshUpstreamClient;
  private readonly source: FleetSource;
  private readonly loop: Loop;
  private readonly listeners: Listener[] = [];
  private timer?: NodeJS.Timeout;
  /** The configuration that was last sent whole. */
  private encodedConfig?: {
    readonly config: MeshConfig;
    readonly bytes: Uint8Array;
  };
  /** Time of the pending tick. */
  private tickAt = 0;
  private resolveStopped: () => void = () => undefined;

  /** Resolves when the core has completed a planned stop. */
  readonly stopped = new Promise<void>(resolve => {
    this.resolveStopped = resolve;
  });

  constructor(
    private settings: MeshSettingsFile,
    private readonly adapter: MeshAdapter,
  ) {
    const {name, logLevel, listen: addresses} = settings;
    const startedAt = Math.round(this.clock.now());
    this.log = new BoundedLog(name, logLevel, count =>
      this.metrics.count('log_dropped', 'full', count),
    );
    this.memory = createMemoryBudget(settings.memoryMb, event =>
      this.metrics.count('memory', event),
    );
    const post = (event: MeshEventBody) => this.post(event);
    this.links = new LinkManager(
      {
        createHello: () => this.createHello(startedAt),
        onClose: (address, link) => this.handleLinkClosed(address, link),
        onMessage: (link, message, body, ageMs) =>
          this.handleMessage(link, message, body, ageMs),
        onBodyRefused: (link, message, reason) =>
          this.attempts.handleBodyRefused(link, message, reason),
        onBodyOffered: (link, message, ageMs, arrival) =>
          this.attempts.handleOffer(link, message, ageMs, arrival),
        onConfirmed: () => this.confirmCallers(),
        onBadFrame: detail => this.reportBadInput('peer_frame', detail),
      },
      new MessageCodec([
        ...Object.values(adapter.headerNames),
        ...adapter.commonHeaders,
      ]),
      () => performance.now(),
      this.pacer,
      this.turns,
      this.memory,
      this.grants,
    );
    this.attempts = new AttemptTransport(
      this.links,
      post,
      this.turns,
      this.memory,
    );
    this.callers = new MeshCallerHandler(
      `${addresses.peers}-${startedAt.toString(36)}`,
      adapter.headerNames,
      adapter.nestedSeparator,
      {
        getService: () => this.settings.service,
        findRefusal: (host, path) => this.findRefusal(host, path),
        post,
        onBadInput: kind => this.metrics.count('bad_input', kind),
        onLateRead: what => this.metrics.count('late_read', what),
      },
      this.turns,
      this.memory,
    );
    this.upstream = new MeshUpstreamClient(
      settings.upstream,
      adapter.headerNames,
      post,
      this.memory,
    );
    this.source = adapter.createSource(settings.source, {
      onReject: (kind, detail) => this.reportBadInput(kind, detail),
      onUnknown: (kind, detail) => this.reportUnknownInput(kind, detail),
    });
    this.loop = new CoreLoop<MeshState, MeshEventBody, MeshEffect>(
      createMeshState(createCoreSettings(settings, startedAt)),
      reduceMesh,
      this.clock,
      effect => this.performEffect(effect),
      (error, {kind}) => this.reportError(kind, error),
    );
  }

  /**
   * Opens all listeners and starts reading the source. Rejects with the error of
   * a listener that cannot be opened, after closing the others; this instance
   * cannot be started again then.
   */
  async start(): Promise<void> {
    const {listen: addresses} = this.settings;
    // No connection is accepted before all of them have succeeded or failed.
    const [links, ...listeners] = await Promise.allSettled([
      this.links.listen(addresses.peers),
      this.listenHttp(
        addresses.callers,
        MAX_CALLER_CONNECTIONS,
        (req, res) => void this.callers.handle(req, res),
        {bodyMs: undefined},
      ),
      this.listenHttp(addresses.ready, MAX_OPERATOR_CONNECTIONS, (req, res) =>
        handleReadinessRequest(
          req,
          res,
          this.loop.state,
          this.adapter.readyPath,
        ),
      ),
      this.listenHttp(
        addresses.operators,
        MAX_OPERATOR_CONNECTIONS,
        (req, res) =>
          void handleOperatorRequest(
            req,
            res,
            this.loop.state,
            this.metrics,
            this.clock.now(),
          ),
      ),
    ]);
    for (const listener of listeners) {
      if (listener.status === 'fulfilled') {
        this.listeners.push(listener.value);
      }
    }
    const failed = [links, ...listeners].find(
      result => result.status === 'rejected',
    );
    if (failed !== undefined) {
      await this.closeSockets();
      throw failed.reason;
    }
    const [{server}] = this.listeners;
    server.on('connection', socket => this.callers.handleConnection(socket));
    this.scheduleTick();
    this.log.write('daemon', 'info', 'Proxy started.', {
      ...addresses,
      service: this.settings.service,
      upstream: this.settings.upstream,
    });
    this.loop.post({kind: 'started', bootMs: performance.now()});
  }

  private scheduleTick(): void {
    const now = this.clock.now();
    this.tickAt = getNextDueAt(this.loop.state, now);
    clearTimeout(this.timer);
    // A timer with a fraction of a millisecond may fire before its time.
    const delayMs = Math.ceil(this.tickAt - now);
    this.timer = setTimeout(() => this.tick(), delayMs);
  }

  private tick(): void {
    this.turns.enter();
    this.reportStall();
    try {
      this.confirmCallers();
      const {receivedBytes: received, sentBytes: sent} = this.links.traffic;
      const waiting = this.pacer.getWaiting();
      const arrivingMs = this.grants.getWaitingMs();
      const linkBytes = {received, sent, waiting, arrivingMs};
      const unsentBytes = this.callers.stopping ? this.countUnsentBytes() : 0;
      this.loop.post({kind: 'tick', linkBytes, unsentBytes});
      this.links.checkIfDue();
      this.memory.recordProgress();
    } finally {
      this.scheduleTick();
    }
  }

  private reportStall(): void {
    const stall = this.stalls.check(this.clock.now(), this.tickAt);
    if (stall === undefined) {
      return;
    }
    const {stalledMs, processorMs, cause} = stall;
    this.metrics.count('event_loop_stalled', cause);
    this.log.write('daemon', 'warn', 'Event loop stood still.', {
      cause,
      stalledMs: Math.round(stalledMs),
      processorMs: Math.round(processorMs),
    });
  }

  /** Learns until when the callers of waiting attempts were there. */
  private confirmCallers(): void {
    const {work} = this.loop.state;
    const attemptIds = findUnconfirmed(work, this.clock.now());
    if (attemptIds.length > 0) {
      const unconfirmedMs = this.attempts.confirmCallers(attemptIds);
      this.loop.post({kind: 'callersConfirmed', unconfirmedMs});
    }
  }

  /** Posts an event, after which the next tick may have to come earlier. */
  private post(event: MeshEventBody): void {
    this.turns.enter();
    this.loop.post(event);
    if (this.timer === undefined || !ADDS_DUE_TIMES.has(event.kind)) {
      return;
    }
    const now = this.clock.now();
    if (
      this.tickAt - now > SHORT_TICK_MS &&
      getNextDueAt(this.loop.state, now) < this.tickAt
    ) {
      this.scheduleTick();
    }
  }

  /** Finds why a request will be refused whatever its body is, and counts it. */
  private findRefusal(host: string, path: string): Refusal | undefined {
    const found = findRouteOrRefusal(this.loop.state, {host, path});
    if (!('reason' in found)) {
      return undefined;
    }
    this.metrics.count('call_refused', found.reason);
    return found;
  }

  private listenHttp(
    address: string,
    maxConnections: number,
    handle: Parameters<typeof listen>[4],
    receiveLimits: Partial<ReceiveLimits> = {
      idleMs: DEFAULT_RECEIVE_TIMEOUT_MS,
    },
  ): Promise<Listener> {
    return listen(
      address,
      {receiveTimeoutMs: DEFAULT_RECEIVE_TIMEOUT_MS},
      maxConnections,
      kind => this.metrics.count('bad_input', kind),
      handle,
      {maxHeaderBytes: DEFAULT_MAX_HEADER_BYTES, receiveLimits},
    );
  }

  /** Begins a planned stop; {@link stopped} resolves when it is complete. */
  requestStop(): void {
    this.callers.stopping = true;
    this.post({kind: 'stopRequested'});
  }

  /** Counts the bytes of answers to callers and peers that are still to be written. */
  private countUnsentBytes(): number {
    const [callers] = this.listeners;
    return (
      callers.countUnsentBytes() +
      this.links.countUnsentBytes() +
      this.pacer.countWaitingBytes()
    );
  }

  /** Closes all sockets and timers, after the last responses are written. */
  async close(): Promise<void> {
    clearTimeout(this.timer);
    this.timer = undefined;
    await sleep(FINAL_WRITES_MS);
    await this.finishWrites();
    await this.closeSockets();
    this.log.write('daemon', 'info', 'Planned stop is complete.');
    await this.log.drain();
  }

  /** Waits until answers in progress are written, until shortly before the grace ends. */
  private async finishWrites(): Promise<void> {
    const {stopRequestedAt = -Infinity, settings} = this.loop.state;
    const endsAt = stopRequestedAt + settings.graceMs - EXIT_RESERVE_MS;
    while (this.countUnsentBytes() > 0 && this.clock.now() < endsAt) {
      await sleep(WRITE_CHECK_INTERVAL_MS);
    }
    const unsentBytes = this.countUnsentBytes();
    if (stopRequestedAt > -Infinity && unsentBytes > 0) {
      this.metrics.count('stop_cut', 'answer');
      const message = 'Planned stop cuts answers that are still read.';
      this.log.write('daemon', 'warn', message, {unsentBytes});
    }
  }

  private async closeSockets(): Promise<void> {
    const linksClosed = this.links.close();
    for (const listener of this.listeners) {
      stopAccepting(listener);
      listener.closeIdle();
    }
    await Promise.all([
      linksClosed,
      this.upstream.destroy(),
      this.source.close(),
    ]);
  }

  /**
   * Counts attempts to start that failed before this one.
   * @param cause - What they lacked.
   */
  countStartRetries(cause: string, attempts: number): void {
    this.metrics.count('start_retry', cause, attempts);
  }

  /** Writes the pending log lines before it returns. */
  writePendingLog(): void {
    this.log.writePending();
  }

  /**
   * Applies changed settings. Changed addresses take effect after a restart.
   * @param settings - The validated settings.
   */
  reload(settings: MeshSettingsFile): void {
    const {listen: addresses, upstream, source} = this.settings;
    const next = {...settings, listen: addresses, upstream, source};
    this.settings = next;
    const {startedAt} = this.loop.state.settings;
    this.loop.state.settings = createCoreSettings(next, startedAt);
    this.metrics.count('reload', 'applied');
    this.log.write('daemon', 'info', 'Settings reloaded.', {
      service: next.service,
      zone: next.zone,
    });
    if (!isDeepStrictEqual(next, settings)) {
      this.log.write(
        'daemon',
        'warn',
        'Changed addresses take effect after a restart.',
        {...settings.listen, upstream: settings.upstream},
      );
    }
  }

  /** Reports an invalid settings file; the previous settings stay in effect. */
  rejectReload(detail: string): void {
    this.metrics.count('reload', 'refused');
    this.log.write(
      'daemon',
      'error',
      'Invalid settings file ignored; correct it.',
      {
        detail,
      },
    );
  }

  /**
   * Reports an unexpected error. The process goes on: its other calls are worth
   * more than a clean state, and each call ends at its deadline at the latest.
   * @param origin - The event that failed, or where the error was caught.
   */
  reportError(origin: string, error: unknown): void {
    this.metrics.count('internal_error', origin);
    this.log.write('daemon', 'error', 'Unexpected error; report it.', {
      origin,
      detail: String(error).slice(0, 200),
      stack: error instanceof Error ? error.stack?.slice(0, 600) : undefined,
    });
  }

  private reportBadInput(kind: string, detail: string): void {
    this.metrics.count('bad_input', kind);
    this.log.write('daemon', 'warn', 'Invalid input ignored.', {kind, detail});
  }

  private reportUnknownInput(kind: string, detail: string): void {
    this.metrics.count('unknown_input', kind);
    this.log.write('daemon', 'warn', 'Unknown input handled with caution.', {
      kind,
      detail,
    });
  }

  private createHello(startedAt: number): Hello {
    const state = this.loop?.state;
    return {
      kind: 'hello',
      address: this.settings.listen.peers,
      zone: this.settings.zone,
      incarnation: startedAt,
      version: state?.config?.version ?? 0,
      revision: state?.fleet.revision ?? 0,
      leaving: state?.leaving ?? false,
      linkMbps: this.settings.linkMbps,
    };
  }

  private handleLinkClosed(address: string, link: Link): void {
    this.attempts.handleLinkClosed(link);
    if (this.links.find(address) === undefined) {
      this.loop.post({kind: 'linkClosed', address});
    }
  }

  private handleMessage(
    link: Link,
    message: LinkMessage,
    body: Uint8Array,
    ageMs: number,
  ): void {
    switch (message.kind) {
      case 'attempt':
      case 'cancel':
      case 'resume':
      case 'answer':
      case 'refusal':
        return this.attempts.handleMessage(link, message, body, ageMs);
      case 'ping':
      case 'pong':
        return;
    }
    const from = link.peer?.address;
    if (from !== undefined) {
      const config =
        message.kind === 'state' && message.hasConfig
          ? this.decodeConfig(body)
          : undefined;
      const aged = addAge(message, ageMs);
      this.loop.post({kind: 'messageReceived', from, message: aged, config});
    }
  }

  private decodeConfig(body: Uint8Array): MeshConfig | undefined {
    try {
      const text = brotliDecompressSync(body).toString('utf8');
      return MeshConfigSchema.parse(JSON.parse(text));
    } catch (error) {
      this.reportBadInput('peer_config', String(error).slice(0, 200));
      return undefined;
    }
  }

  private performEffect(effect: MeshEffect): void {
    switch (effect.kind) {
      case 'readSource':
        void this.readSource(effect.request);
        return;
      case 'openLink':
        void this.links.open(effect.to);
        return;
      case 'sendMessage':
        void this.sendMessage(effect.to, effect.message, effect.config);
        return;
      case 'sendAttempt':
        return this.sendAttempt(effect);
      case 'cancelAttempt':
        return this.attempts.cancel(effect.attemptId);
      case 'answerCall':
        return this.callers.answer(effect.callId, effect.result);
      case 'dispatch':
        return this.dispatch(effect);
      case 'abortDispatch':
        return this.upstream.abort(effect.attemptId);
      case 'finishAttempt':
        return this.attempts.finish(effect.attemptId, effect.outcome);
      case 'probeConnect':
        return this.upstream.probe();
      case 'dropUpstreamConnections':
        return this.upstream.replaceConnections();
      case 'configAdopted':
        return this.applyLimits(effect.config.limits);
      case 'stopped':
        return this.resolveStopped();
      case 'count':
        return this.metrics.count(effect.counter, effect.reason);
      case 'countRoute': {
        const {counter, route, outcome} = effect;
        return this.routeMetrics.count(counter, route, outcome);
      }
      case 'observe':
        return this.metrics.observe(effect.histogram, effect.seconds);
      case 'log': {
        const {part, level, message, fields} = effect;
        return this.log.write(part, level, message, fields);
      }
    }
  }

  private async readSource(request: SourceRequest): Promise<void> {
    const answer = await this.source.read(request);
    if (answer.isErr()) {
      const {kind, detail} = answer.error;
      const text = `${kind}: ${detail}`;
      this.loop.post({kind: 'sourceFailed', request, detail: text});
      return;
    }
    this.loop.post({kind: 'sourceAnswered', request, answer: answer.value});
  }

  private async sendMessage(
    to: string,
    message: PeerMessage,
    config?: MeshConfig,
  ): Promise<void> {
    if (to === this.settings.listen.peers) {
      return;
    }
    const createdAt = this.clock.now();
    const link = this.links.find(to) ?? (await this.links.open(to));
    if (link === undefined) {
      return;
    }
    const sent = addAge(message, this.clock.now() - createdAt);
    link.send(sent, config === undefined ? undefined : this.encode(config));
  }

  /** Compresses a configuration once for all peers that ask for it. */
  private encode(config: MeshConfig): Uint8Array {
    if (this.encodedConfig?.config !== config) {
      this.encodedConfig = {config, bytes: encodeConfig(config)};
    }
    return this.encodedConfig.bytes;
  }

  private sendAttempt(
    effect: Extract<MeshEffect, {kind: 'sendAttempt'}>,
  ): void {
    const {callId, to, attempt} = effect;
    const outbound = this.callers.getOutbound(callId);
    if (outbound === undefined) {
      return;
    }
    if (to === undefined) {
      this.attempts.receiveLocal(attempt, outbound);
      return;
    }
    void this.attempts.send(to, attempt, outbound);
  }

  private dispatch(effect: Extract<MeshEffect, {kind: 'dispatch'}>): void {
    const {attemptId, instanceId, timeoutMs} = effect;
    const received = this.attempts.getReceived(attemptId);
    if (received !== undefined) {
      const {outbound} = received;
      void this.upstream.dispatch(attemptId, instanceId, timeoutMs, outbound);
    }
  }

  private applyLimits(limits: CallerLimits): void {
    this.callers.limits = limits;
    const [callers] = this.listeners;
    if (callers !== undefined) {
      callers.server.keepAliveTimeout = limits.idleTimeoutMs;
      callers.receiveLimits.headMs = limits.headerTimeoutMs;
      callers.receiveLimits.idleMs = limits.idleTimeoutMs;
      // For connections that are accepted from now on.
      const maxHeaderSize = limits.maxHeaderBytes * HEAD_FRAMING_FACTOR;
      Object.assign(callers.server, {maxHeaderSize});
    }
  }

  private getGaugeValues(): GaugeValues {
    const {state} = this.loop;
    const cold = state.work.cold.bound;
    const {sentBytes, receivedBytes} = this.links.traffic;
    const {userCPUTime, systemCPUTime, maxRSS} = process.resourceUsage();
    const now = this.clock.now();
    return {
      version: state.config?.version ?? 0,
      revision: state.fleet.revision,
      knowledge_age_seconds: getAgeSeconds(now, state.sourceReads.freshAt),
      config_age_seconds: getAgeSeconds(now, state.configFreshness.confirmedAt),
      ready: Number(isReady(state)),
      calls: state.calls.size,
      running: state.work.running.size,
      queued: state.work.queue.length,
      upstream_limit: state.work.limit.perSecond ?? -1,
      upstream_cold_limit: cold === undefined ? -1 : getColdRate(cold),
      upstream_leaving: Number(isUpstreamLeaving(state)),
      evacuated_zones: getEvacuatedZones(state.fleet.evacuations).length,
      link_sent_bytes: sentBytes,
      link_received_bytes: receivedBytes,
      link_waiting_bytes: this.pacer.countWaitingBytes(),
      link_arriving_ms: this.grants.getWaitingMs(),
      memory_held_bytes: this.memory.usedBytes,
      processor_seconds: (userCPUTime + systemCPUTime) / 1e6,
      peak_resident_bytes: maxRSS * 1_024,
    };
  }
}

/** Gets an age for a gauge; -1 where nothing is known. */
function getAgeSeconds(now: number, since: number): number {
  return Number.isFinite(since) ? (now - since) / 1_000 : -1;
}

/** Uses a fast compression level, since this delays the calls in progress. */
function encodeConfig(config: MeshConfig): Uint8Array {
  return brotliCompressSync(JSON.stringify(config), {
    params: {[constants.BROTLI_PARAM_QUALITY]: 4},
  });
}

function createCoreSettings(
  settings: MeshSettingsFile,
  startedAt: number,
): MeshSettings {
  const {listen: addresses, retries} = settings;
  const boundMs = Math.min(settings.drainMs, settings.configApplyMs);
  return {
    address: addresses.peers,
    zone: settings.zone,
    startedAt,
    service: settings.service,
    upstreamAddress: settings.upstream,
    linkPort: parseAddress(addresses.peers).port,
    heartbeatMs: settings.heartbeatMs,
    retryShare: retries.share,
    retryExtra: retries.extra,
    retryWindowMs: retries.windowMs,
    coldLimit: settings.coldLimit,
    scarceSlots: settings.scarceSlots,
    graceMs: settings.graceMs,
    linkMbps: settings.linkMbps,
    readIntervalMs: settings.readIntervalMs ?? boundMs * READ_INTERVAL_SHARE,
    maxListAgeMs: boundMs * MAX_LIST_AGE_SHARE,
    quarantineMs: settings.quarantineMs,
    policy: DEFAULT_POLICY,
  };
}
