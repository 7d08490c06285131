/** Runs the decision core of one proxy on a virtual clock. */
import {createCoreSettings} from '../core/core_settings.js';
import {Policy} from '../core/policy.js';
import {reduceProxy} from '../core/proxy_core.js';
import {createProxyState, ProxyState} from '../core/proxy_state.js';
import {Effect, EventBody} from '../core/types.js';
import {SettingsSchema} from '../model/settings.js';
import {SeededRandom} from './seeded_random.js';
import {VirtualClock} from './virtual_clock.js';

const TICK_MS = 50;

/** Identity and location of a simulated proxy. */
export interface ProxyEndpoint {
  readonly id: string;
  readonly zone: string;
  readonly peerAddress: string;
}

/** A proxy without I/O; its effects go to a callback. */
export class SimulatedProxy {
  readonly state: ProxyState;

  /**
   * @param endpoint - ID, zone and peer address.
   * @param seeds - Addresses of the peers to contact at startup.
   * @param policy - The policy under test.
   * @param clock - The clock of the experiment.
   * @param random - Source of the random numbers in its events.
   * @param performEffect - Called with each effect of the core.
   */
  constructor(
    readonly endpoint: ProxyEndpoint,
    seeds: readonly string[],
    policy: Policy,
    private readonly clock: VirtualClock,
    private readonly random: SeededRandom,
    private readonly performEffect: (
      from: SimulatedProxy,
      effect: Effect,
    ) => void,
  ) {
    const settings = SettingsSchema.parse({
      upstreamId: endpoint.id,
      region: 'centre',
      zone: endpoint.zone,
      listen: {
        callers: '127.0.0.1:1',
        peers: '127.0.0.1:2',
        operators: '127.0.0.1:3',
      },
      upstream: {address: '127.0.0.1:4'},
      source: '127.0.0.1:5',
      seeds,
    });
    this.state = createProxyState(
      createCoreSettings(settings, endpoint.peerAddress, clock.now, policy),
    );
  }

  /** Starts the proxy and its ticks, at a random phase. */
  start(): void {
    this.processEvent({kind: 'started'});
    const tick = () => {
      this.processEvent({kind: 'tick'});
      this.clock.schedule(this.clock.now + TICK_MS, tick);
    };
    const phaseMs = TICK_MS * this.random.getFraction();
    this.clock.schedule(this.clock.now + phaseMs, tick);
  }

  /** Passes an event to the core and performs the resulting effects. */
  processEvent(body: EventBody): void {
    const {now: at} = this.clock;
    const entropy = this.random.getUint32();
    const [, effects] = reduceProxy(this.state, {...body, at, entropy});
    for (const effect of effects) {
      this.performEffect(this, effect);
    }
  }
}
