/** One real decision core whose effects go to fakes on a virtual clock. */
import {createCoreSettings} from '../core/core_settings.js';
import {Policy} from '../core/policy.js';
import {reduceProxy} from '../core/proxy_core.js';
import {createProxyState, ProxyState} from '../core/proxy_state.js';
import {Effect, EventBody} from '../core/types.js';
import {SettingsSchema} from '../model/settings.js';
import {Chance} from './chance.js';
import {VirtualClock} from './virtual_clock.js';

const TICK_MS = 50;

export interface ProxyPlace {
  readonly id: string;
  readonly zone: string;
  readonly peerAddress: string;
}

export class SimulatedProxy {
  readonly state: ProxyState;

  /**
   * @param place - Its name, zone and address.
   * @param seeds - Peers that it asks first.
   * @param policy - Choices to be compared.
   * @param clock - The clock of the experiment.
   * @param chance - Randomness for its decisions.
   * @param perform - Carries out an effect.
   */
  constructor(
    readonly place: ProxyPlace,
    seeds: readonly string[],
    policy: Policy,
    private readonly clock: VirtualClock,
    private readonly chance: Chance,
    private readonly perform: (from: SimulatedProxy, effect: Effect) => void,
  ) {
    const settings = SettingsSchema.parse({
      upstreamId: place.id,
      region: 'centre',
      zone: place.zone,
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
      createCoreSettings(settings, place.peerAddress, clock.now, policy),
    );
  }

  start(): void {
    this.post({kind: 'started'});
    const tick = () => {
      this.post({kind: 'tick'});
      this.clock.plan(this.clock.now + TICK_MS, tick);
    };
    const phaseMs = TICK_MS * this.chance.getShare();
    this.clock.plan(this.clock.now + phaseMs, tick);
  }

  /** Reduces an event now and carries out its effects. */
  post(body: EventBody): void {
    const {now: at} = this.clock;
    const entropy = this.chance.getEntropy();
    const [, effects] = reduceProxy(this.state, {...body, at, entropy});
    for (const effect of effects) {
      this.perform(this, effect);
    }
  }
}
