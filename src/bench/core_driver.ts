/** One decision core in this process, whose peers all answer at once. */
import {createCoreSettings} from '../core/core_settings.js';
import {reduceProxy} from '../core/proxy_core.js';
import {createProxyState, ProxyState} from '../core/proxy_state.js';
import {Effect, EventBody} from '../core/types.js';
import {Patch, Submission} from '../model/config.js';
import {MemberInfo, PeerReply, PeerRequest} from '../model/peer.js';
import {createInitialPatch, createSettings, ProxyPlan} from './proxy_setup.js';

const START_TIME_MS = 1_700_000_000_000;
const TICK_MS = 25;

/** Enough to ask witnesses to join and to announce the first version. */
const STARTUP_TICKS = 400;

const LCG_MULTIPLIER = 2_654_435_761;
const UINT32_RANGE = 2 ** 32;

/** Proxies in one service at the two-year size: 630 in 52. */
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
 * Makes the first patch of a fleet.
 * @param size - Number of proxies.
 * @returns Services of 12 upstreams each, and one route to each service.
 */
export function createFleetPatch(size: number): Patch {
  const plans = Array.from({length: size}, (_, index) =>
    createProxyPlan(index),
  );
  return createInitialPatch(plans);
}

export class CoreDriver {
  private state: ProxyState;
  private at = START_TIME_MS;
  private entropy = 1;

  /**
   * Starts a core and brings it to version 1.
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
      throw new Error('The core did not become ready.');
    }
  }

  /** The state, to be read only. */
  get proxy(): ProxyState {
    return this.state;
  }

  /**
   * Reduces one event without further answers.
   * @param body - The event.
   * @returns Its effects.
   */
  reduce(body: EventBody): readonly Effect[] {
    // A linear congruence is random enough to spread choices.
    this.entropy = (this.entropy * LCG_MULTIPLIER + 1) % UINT32_RANGE;
    const {at, entropy} = this;
    const [state, effects] = reduceProxy(this.state, {...body, at, entropy});
    this.state = state;
    return effects;
  }

  /**
   * Reduces an event and all answers of peers that follow from it.
   * @param body - The event.
   * @returns Number of messages that were sent to peers.
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
   * Publishes a patch against the version in force.
   * @param patch - The patch.
   * @returns Number of messages that were sent to peers.
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
   * Lets time pass.
   * @param ms - Milliseconds.
   */
  advance(ms: number): void {
    this.at += ms;
  }

  /**
   * Describes another proxy of the fleet.
   * @param index - Which one.
   * @param heartbeat - Its heartbeat.
   * @returns The description.
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
          // All start together, so that the source decides.
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
