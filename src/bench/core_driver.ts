/**
 * Drives one decision core in this process; all its peers reply immediately.
 */
import {createCoreSettings} from '../core/core_settings.js';
import {reduceProxy} from '../core/proxy_core.js';
import {createProxyState, ProxyState} from '../core/proxy_state.js';
import {Effect, EventBody} from '../core/types.js';
import {Patch, Submission} from '../model/config.js';
import {MemberInfo, PeerReply, PeerRequest} from '../model/peer.js';
import {createInitialPatch, createSettings, ProxyPlan} from './proxy_setup.js';

const START_TIME_MS = 1_700_000_000_000;
const TICK_MS = 25;

/** Enough for the join requests and the announcement of the first version. */
const STARTUP_TICKS = 400;

/** Multiplier of the linear congruential generator. */
const LCG_MULTIPLIER = 2_654_435_761;
const UINT32_RANGE = 2 ** 32;

/** The fleet size expected after two years is 630 proxies in 52 services. */
const PROXIES_PER_SERVICE = 12;
const ZONES = 7;

function createProxyPlan(index: number): ProxyPlan {
  const zone = index % ZONES;
  const peers = `10.${Math.floor(index / 250)}.0.${(index % 250) + 1}:8002`;
  return {
    id: `vm-${index}`,
    zone: `zone-${zone}`,
    region: zone < ZONES / 2 ? 'region-0' : 'region-1',
    service: `service-${Math.floor(index / PROXIES_PER_SERVICE)}`,
    callers: '127.0.0.1:1',
    peers,
    operators: '127.0.0.1:3',
    upstream: '127.0.0.1:4',
  };
}

/**
 * Creates the initial patch of a fleet.
 * @param size - Number of proxies.
 * @returns Services with 12 upstreams each, and one route for each service.
 */
export function createFleetPatch(size: number): Patch {
  const plans = Array.from({length: size}, (_, index) =>
    createProxyPlan(index),
  );
  return createInitialPatch(plans);
}

/** A decision core with a simulated clock and simulated peers. */
export class CoreDriver {
  private state: ProxyState;
  private at = START_TIME_MS;
  private entropy = 1;

  /**
   * Starts a core and runs it until version 1 is in force.
   * @param size - Number of proxies in its configuration.
   */
  constructor(readonly size: number) {
    const plan = createProxyPlan(0);
    const settings = createSettings(plan, '127.0.0.1:5', []);
    const core = createCoreSettings(settings, plan.peers, START_TIME_MS);
    this.state = createProxyState(core);
    this.processEvent({kind: 'started'});
    this.publish(createFleetPatch(size));
    for (let tick = 0; tick < STARTUP_TICKS; tick += 1) {
      this.advance(TICK_MS);
      this.processEvent({kind: 'tick'});
    }
    if (!this.state.startup.ready || this.state.log.active.version !== 1) {
      throw new Error(
        `The core did not become ready at version 1 within ${STARTUP_TICKS} ticks.`,
      );
    }
  }

  /** The current state; callers must not change it. */
  get proxyState(): ProxyState {
    return this.state;
  }

  /**
   * Passes one event to the core, without replies to the requests it causes.
   * @param body - The event.
   * @returns The effects.
   */
  reduce(body: EventBody): readonly Effect[] {
    // A linear congruential generator distributes the choices well enough.
    this.entropy = (this.entropy * LCG_MULTIPLIER + 1) % UINT32_RANGE;
    const {at, entropy} = this;
    const [state, effects] = reduceProxy(this.state, {...body, at, entropy});
    this.state = state;
    return effects;
  }

  /**
   * Passes an event to the core, and then the peers' replies to all requests
   * that follow from it.
   * @param body - The event.
   * @returns Number of requests that the core sent to peers.
   */
  processEvent(body: EventBody): number {
    const queue: EventBody[] = [body];
    let messageCount = 0;
    for (
      let event = queue.shift();
      event !== undefined;
      event = queue.shift()
    ) {
      for (const effect of this.reduce(event)) {
        if (effect.kind === 'askPeer') {
          const {address, request} = effect;
          const reply = this.createReply(address, request);
          messageCount += 1;
          queue.push({kind: 'peerReplied', address, request, reply});
        }
      }
    }
    return messageCount;
  }

  /**
   * Publishes a patch that is based on the latest version.
   * @param patch - The patch.
   * @returns Number of requests that the core sent to peers.
   */
  publish(patch: Patch): number {
    const {latest} = this.state.log;
    const submission: Submission = {
      sequence: latest.sequence + 1,
      id: `change-${latest.sequence + 1}`,
      base: latest.version,
      publishedAt: this.at,
      patch,
    };
    return this.processEvent({
      kind: 'sourceAnswered',
      head: submission.sequence,
      submissions: [submission],
    });
  }

  /**
   * Advances the clock.
   * @param ms - Milliseconds.
   */
  advance(ms: number): void {
    this.at += ms;
  }

  /**
   * Creates the member information that another proxy would gossip. It has the
   * core's own sequence and version, so that no peer seems ahead or behind.
   * @param index - Index of the proxy, modulo the size of the fleet.
   * @param heartbeat - Its heartbeat.
   * @returns The member information.
   */
  describeMember(index: number, heartbeat: number): MemberInfo {
    const {id, peers} = createProxyPlan(index % this.size);
    const {latest, active} = this.state.log;
    return {
      id,
      peerAddress: peers,
      incarnation: START_TIME_MS,
      heartbeat,
      sequence: latest.sequence,
      version: active.version,
      digest: latest.digest,
      leaving: false,
      ready: true,
    };
  }

  private getRegionOf(address: string): string {
    const upstreams = Object.values(this.state.log.latest.config.upstreams);
    const upstream = upstreams.find(({peerAddress}) => peerAddress === address);
    return upstream?.region ?? '';
  }

  private createReply(address: string, request: PeerRequest): PeerReply {
    switch (request.kind) {
      case 'gossip': {
        const {heartbeat} = request.from;
        const from = this.describeMember(1 + heartbeat, heartbeat);
        return {kind: 'gossip', from, members: [], suspects: []};
      }
      case 'join': {
        const {latest} = this.state.log;
        return {
          kind: 'join',
          incarnation: START_TIME_MS,
          // Before the core is ready, its peers are starting too, so that the
          // core takes its first state from the source.
          ready: this.state.startup.ready,
          sequence: latest.sequence,
          region: this.getRegionOf(address),
          heard: 0,
          members: [],
        };
      }
      default:
        return {kind: 'ok'};
    }
  }
}
