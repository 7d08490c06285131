/** Feeds events to a decision core one by one and hands out its effects. */
import {Clock} from './clock.js';

/** When an event happened, and the chance that its reducer may use. */
export interface EventStamp {
  readonly at: number;
  readonly entropy: number;
}

/** A reducer of one core: the next state, and the effects in order. */
export type Reducer<S, B, F> = (
  state: S,
  event: B & EventStamp,
) => readonly [S, readonly F[]];

export class CoreLoop<S, B, F> {
  private readonly waiting: B[] = [];
  private reducing = false;

  /**
   * @param current - The state at the start.
   * @param reducer - The core.
   * @param clock - Stamps each event with time and randomness.
   * @param perform - Carries out one effect; it may post further events.
   */
  constructor(
    private current: S,
    private readonly reducer: Reducer<S, B, F>,
    private readonly clock: Clock,
    private readonly perform: (effect: F) => void,
  ) {}

  /** The state, to be read only. */
  get state(): S {
    return this.current;
  }

  /**
   * Reduces an event, after those that are already waiting.
   * @param body - The event without its stamp.
   */
  post(body: B): void {
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

  private reduce(body: B): void {
    const at = this.clock.now();
    const entropy = this.clock.getEntropy();
    const [state, effects] = this.reducer(this.current, {
      ...body,
      at,
      entropy,
    });
    this.current = state;
    for (const effect of effects) {
      this.perform(effect);
    }
  }
}
