/** Feeds events to a decision core one by one and hands out its effects. */
import {Clock} from './clock.js';

/** When an event happened, and the chance that its reducer may use. */
export interface EventStamp {
  readonly at: number;
  readonly entropy: number;
}

/** A reducer of one core: the next state, and the effects in order. */
export type Reducer<TState, TEvent, TEffect> = (
  state: TState,
  event: TEvent & EventStamp,
) => readonly [TState, readonly TEffect[]];

export class CoreLoop<TState, TEvent, TEffect> {
  private readonly pendingEvents: TEvent[] = [];
  private isReducing = false;

  /**
   * @param currentState - The state at the start.
   * @param reducer - The core.
   * @param clock - Stamps each event with time and randomness.
   * @param perform - Carries out one effect; it may post further events.
   */
  constructor(
    private currentState: TState,
    private readonly reducer: Reducer<TState, TEvent, TEffect>,
    private readonly clock: Clock,
    private readonly perform: (effect: TEffect) => void,
  ) {}

  /** The state, to be read only. */
  get state(): TState {
    return this.currentState;
  }

  /**
   * Reduces an event, after those that are already waiting.
   * @param body - The event without its stamp.
   */
  post(body: TEvent): void {
    this.pendingEvents.push(body);
    if (this.isReducing) {
      return;
    }
    this.isReducing = true;
    try {
      for (
        let nextEvent = this.pendingEvents.shift();
        nextEvent !== undefined;
        nextEvent = this.pendingEvents.shift()
      ) {
        this.reduce(nextEvent);
      }
    } finally {
      this.isReducing = false;
    }
  }

  private reduce(body: TEvent): void {
    const at = this.clock.now();
    const entropy = this.clock.getEntropy();
    const [state, effects] = this.reducer(this.currentState, {
      ...body,
      at,
      entropy,
    });
    this.currentState = state;
    for (const effect of effects) {
      this.perform(effect);
    }
  }
}
