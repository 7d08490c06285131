/** Feeds events to the decision core one by one and hands out its effects. */
import {CoreSettings} from '../core/core_settings.js';
import {reduceProxy} from '../core/proxy_core.js';
import {createProxyState, ProxyState} from '../core/proxy_state.js';
import {Effect, EventBody} from '../core/types.js';
import {Clock} from './clock.js';

export class CoreLoop {
  private current: ProxyState;
  private readonly waiting: EventBody[] = [];
  private reducing = false;

  /**
   * @param settings - The core's settings.
   * @param clock - Stamps each event with time and randomness.
   * @param perform - Carries out one effect; it may post further events.
   */
  constructor(
    settings: CoreSettings,
    private readonly clock: Clock,
    private readonly perform: (effect: Effect) => void,
  ) {
    this.current = createProxyState(settings);
  }

  /** The state, to be read only. */
  get state(): ProxyState {
    return this.current;
  }

  /**
   * Reduces an event, after those that are already waiting.
   * @param body - The event without its stamp.
   */
  post(body: EventBody): void {
    this.waiting.push(body);
    if (this.reducing) {
      return;
    }
    this.reducing = true;
    try {
      for (
        let next = this.waiting.shift();
        next !== undefined;
        next = this.waiting.shift()
      ) {
        this.reduce(next);
      }
    } finally {
      this.reducing = false;
    }
  }

  private reduce(body: EventBody): void {
    const at = this.clock.now();
    const entropy = this.clock.getEntropy();
    const [state, effects] = reduceProxy(this.current, {...body, at, entropy});
    this.current = state;
    for (const effect of effects) {
      this.perform(effect);
    }
  }
}
