/** Connects the decision core of one proxy to sockets, timers and logs. */
import {createCoreSettings} from '../core/core_settings.js';
import {reduceProxy} from '../core/proxy_core.js';
import {createProxyState, ProxyState} from '../core/proxy_state.js';
import {Effect, EventBody} from '../core/types.js';
import {Attempt} from '../model/peer.js';
import {Settings} from '../model/settings.js';
import {AttemptSender} from './attempt_sender.js';
import {CallerServer} from './caller_server.js';
import {Clock, SystemClock} from './clock.js';
import {ConnectionPools} from './connection_pools.js';
import {ControlClient, ControlTraffic} from './control_channel.js';
import {CoreLoop} from './core_loop.js';
import {closeGracefully, stopAccepting, listen, Listener} from './listener.js';
import {PartLogs} from './log.js';
import {DEFAULT_MEMORY_MB, createMemoryBudget} from './memory_limits.js';
import {GaugeValues, ProxyMetrics} from './metrics.js';
import {OperatorServer} from './operator_server.js';
import {PeerServer} from './peer_server.js';
import {SourceClient} from './source_client.js';
import {UpstreamClient} from './upstream_client.js';

const TICK_INTERVAL_MS = 25;

/**
 * Maximum number of connections to one peer for control messages. They are
 * separate from the connections for calls.
 */
const CONTROL_CONNECTIONS_PER_PEER = 2;

/** Maximum number of open connections from peers and from operators. */
const MAX_PEER_CONNECTIONS = 16_384;
const MAX_OPERATOR_CONNECTIONS = 64;

/** The core loop of a proxy whose versions are folded from submissions. */
export type ProxyLoop = CoreLoop<ProxyState, EventBody, Effect>;

/** The addresses on which a running proxy listens. */
export interface ProxyAddresses {
  readonly callers: string;
  readonly peers: string;
  readonly operators: string;
}

export class ProxyRuntime {
  // Unlimited, because the admission control of the owners limits running and
  // queued attempts, and does not see a call that waits for a connection.
  private readonly callPools = new ConnectionPools(undefined);
  private readonly controlPools = new ConnectionPools(
    CONTROL_CONNECTIONS_PER_PEER,
  );
  private readonly controlTraffic: ControlTraffic = {
    sentBytes: 0,
    receivedBytes: 0,
  };
  private readonly metrics = new ProxyMetrics(() => this.getGaugeValues());
  private readonly intervals: NodeJS.Timeout[] = [];
  private readonly callerServer: CallerServer;
  private readonly peerServer: PeerServer;
  private readonly attemptSender: AttemptSender;
  private readonly upstreamClient: UpstreamClient;
  private readonly sourceClient: SourceClient;
  private readonly controlClient: ControlClient;
  private listeners: Listener[] = [];
  private callerListener?: Listener;
  private loop?: ProxyLoop;
  private ownPeerAddress = '';
  private resolveDrained: () => void = () => undefined;

  /** Resolves once a graceful shutdown has drained the proxy. */
  readonly drained = new Promise<void>(resolve => {
    this.resolveDrained = resolve;
  });

  constructor(
    private readonly settings: Settings,
    private readonly logs: PartLogs,
    private readonly clock: Clock = new SystemClock(),
  ) {
    const {limits} = settings;
    const post = (event: EventBody) => this.post(event);
    const countBadInput = (kind: string) =>
      this.metrics.count('bad_input', kind);
    const memory = createMemoryBudget(DEFAULT_MEMORY_MB);
    this.callerServer = new CallerServer(
      limits,
      post,
      reason => this.metrics.count('call_refused', reason),
      memory,
    );
    this.peerServer = new PeerServer(
      limits,
      this.controlTraffic,
      post,
      countBadInput,
      memory,
    );
    this.attemptSender = new AttemptSender(
      this.callPools,
      limits.maxAnswerBytes,
      post,
    );
    this.upstreamClient = new UpstreamClient(settings, this.callPools, post);
    this.sourceClient = new SourceClient(
      settings.source,
      this.controlPools,
      post,
    );
    this.controlClient = new ControlClient(
      this.controlPools,
      this.controlTraffic,
    );
  }

  /**
   * Starts listening and joins the fleet.
   * @returns The addresses, with the actual ports.
   */
  async start(): Promise<ProxyAddresses> {
    const {limits} = this.settings;
    const countBadInput = (kind: string) =>
      this.metrics.count('bad_input', kind);
    const peers = await listen(
      this.settings.listen.peers,
      limits,
      MAX_PEER_CONNECTIONS,
      countBadInput,
      (req, res) => void this.peerServer.handle(req, res),
    );
    this.ownPeerAddress = peers.address;
    const loop = this.createLoop(peers.address);
    const callers = await listen(
      this.settings.listen.callers,
      limits,
      limits.maxCallerConnections,
      countBadInput,
      (req, res) => void this.callerServer.handle(req, res),
    );
    const operatorServer = new OperatorServer(loop, this.metrics, () =>
      this.startDrain(),
    );
    const operators = await listen(
      this.settings.listen.operators,
      limits,
      MAX_OPERATOR_CONNECTIONS,
      countBadInput,
      (req, res) => void operatorServer.handle(req, res),
    );
    this.callerListener = callers;
    this.listeners = [callers, peers, operators];
    this.startTimers();
    loop.post({kind: 'started'});
    return {
      callers: callers.address,
      peers: peers.address,
      operators: operators.address,
    };
  }

  private createLoop(peerAddress: string): ProxyLoop {
    const coreSettings = createCoreSettings(
      this.settings,
      peerAddress,
      this.clock.now(),
    );
    this.loop = new CoreLoop<ProxyState, EventBody, Effect>(
      createProxyState(coreSettings),
      reduceProxy,
      this.clock,
      effect => this.perform(effect),
    );
    return this.loop;
  }

  private startTimers(): void {
    const {healthIntervalMs} = this.settings.upstream;
    void this.upstreamClient.probeHealth();
    this.intervals.push(
      setInterval(() => this.post({kind: 'tick'}), TICK_INTERVAL_MS),
      setInterval(
        () => void this.upstreamClient.probeHealth(),
        healthIntervalMs,
      ),
    );
  }

  private post(event: EventBody): void {
    this.loop?.post(event);
  }

  /** Starts a graceful shutdown; {@link drained} resolves when it is done. */
  startDrain(): void {
    if (this.callerServer.closing) {
      return;
    }
    this.callerServer.closing = true;
    this.logs.write('daemon', 'info', 'Planned stop begins.');
    // A caller whose connection is refused has sent nothing and can use another
    // proxy at once. If it were accepted, the proxy might never become idle.
    if (this.callerListener !== undefined) {
      stopAccepting(this.callerListener);
    }
    this.post({kind: 'drainRequested'});
  }

  /** Closes all sockets and timers, after running requests are answered. */
  async stop(): Promise<void> {
    await Promise.all(this.listeners.map(closeGracefully));
    for (const timer of this.intervals) {
      clearInterval(timer);
    }
    this.sourceClient.abort();
    await Promise.all([this.callPools.destroy(), this.controlPools.destroy()]);
  }

  private perform(effect: Effect): void {
    switch (effect.kind) {
      case 'watchSource':
        void this.sourceClient.watch(
          effect.afterSequence,
          effect.vmRevision,
          effect.waitMs,
        );
        return;
      case 'askPeer':
        void this.askPeer(effect);
        return;
      case 'replyPeer':
        return this.peerServer.reply(effect.requestId, effect.reply);
      case 'sendAttempt':
        return this.sendAttempt(effect);
      case 'cancelAttempt':
        return this.cancelAttempt(effect.attemptId);
      case 'answerCall':
        return this.callerServer.answer(effect.callId, effect.result);
      case 'dispatch':
        return this.dispatch(effect.attemptId, effect.timeoutMs);
      case 'abortDispatch':
        return this.upstreamClient.abort(effect.attemptId);
      case 'finishAttempt': {
        const attempt = this.peerServer.attempts.get(effect.attemptId);
        this.peerServer.attempts.delete(effect.attemptId);
        return attempt?.finish(effect.result, effect.load);
      }
      case 'drained':
        return this.resolveDrained();
      case 'count':
        return this.metrics.count(effect.counter, effect.reason);
      case 'log':
        return this.logs.write(effect.part, effect.level, effect.message);
    }
  }

  private async askPeer(
    effect: Extract<Effect, {kind: 'askPeer'}>,
  ): Promise<void> {
    const {address, request} = effect;
    const reply = await this.controlClient.sendRequest(address, request);
    this.post(
      reply === undefined
        ? {kind: 'peerFailed', address, request}
        : {kind: 'peerReplied', address, request, reply},
    );
  }

  private sendAttempt(effect: Extract<Effect, {kind: 'sendAttempt'}>): void {
    const {callId, address, attempt} = effect;
    const outbound = this.callerServer.getOutbound(callId);
    if (outbound === undefined) {
      return;
    }
    if (address !== this.ownPeerAddress) {
      void this.attemptSender.send(address, attempt, outbound);
      return;
    }
    this.receiveOwnAttempt(attempt, outbound);
  }

  /** Passes an attempt on directly, as this proxy is both entry and owner. */
  private receiveOwnAttempt(
    attempt: Attempt,
    outbound: Parameters<AttemptSender['send']>[2],
  ): void {
    const {attemptId, key} = attempt;
    this.peerServer.attempts.set(attemptId, {
      key,
      outbound,
      finish: (result, load) =>
        this.post({kind: 'attemptAnswered', attemptId, result, load}),
    });
    this.post({kind: 'attemptArrived', attempt});
  }

  private cancelAttempt(attemptId: string): void {
    this.attemptSender.cancel(attemptId);
    if (this.peerServer.attempts.has(attemptId)) {
      this.post({kind: 'attemptCancelled', attemptId});
    }
  }

  private dispatch(attemptId: string, timeoutMs: number): void {
    const attempt = this.peerServer.attempts.get(attemptId);
    if (attempt !== undefined) {
      const {key, outbound} = attempt;
      void this.upstreamClient.dispatch(attemptId, key, timeoutMs, outbound);
    }
  }

  private getGaugeValues(): GaugeValues {
    const state = this.loop?.state;
    return {
      version: state?.log.active.version ?? 0,
      sequence: state?.log.latest.sequence ?? 0,
      ready: state?.startup.ready ?? false,
      leaving: state?.owner.draining ?? false,
      running: state?.owner.admission.running.size ?? 0,
      queued: state?.owner.admission.queue.length ?? 0,
      keyRecords: state?.owner.keys.size ?? 0,
      controlBytesSent: this.controlTraffic.sentBytes,
      controlBytesReceived: this.controlTraffic.receivedBytes,
    };
  }
}
