/** Passes events to a decision core one at a time and performs its effects. */
import {Clock} from './clock.js';

/** The time of an event and the random number that its reducer may use. */
export interface EventStamp {
  readonly at: number;
  readonly entropy: number;
}

/** Computes the next state of a core and the effects to perform, in order. */
export type Reducer<TState, TEvent, TEffect> = (
  state: TState,
  event: TEvent & EventStamp,
) => readonly [TState, readonly TEffect[]];

/** Runs one core: reduces events in the order in which they were posted. */
export class CoreLoop<TState, TEvent, TEffect> {
  private readonly pendingEvents: TEvent[] = [];
  private isReducing = false;

  /**
   * @param currentState - The initial state.
   * @param reducer - The core's reducer.
   * @param clock - Supplies the time and the random number of each event.
   * @param perform - Performs one effect; may post further events.
   * @param onError - Called with an unexpected error of an event or of one of its
   *     effects. The other effects and events are still handled; undefined: the
   *     error is thrown.
   */
  constructor(
    private currentState: TState,
    private readonly reducer: Reducer<TState, TEvent, TEffect>,
    private readonly clock: Clock,
    private readonly perform: (effect: TEffect) => void,
    private readonly onError?: (error: unknown, body: TEvent) => void,
  ) {}

  /** The current state; callers must not modify it. */
  get state(): TState {
    return this.currentState;
  }

  /**
   * Reduces an event once the pending ones are done. An event that is posted
   * while an effect is performed waits until that reduction is complete.
   * @param body - The event without its {@link EventStamp}.
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
        const event = nextEvent;
        this.guard(event, () => this.reduce(event));
      }
    } finally {
      this.isReducing = false;
    }
  }

  /** Keeps one event from ending the process, and from stopping later events. */
  private guard(body: TEvent, run: () => void): void {
    if (this.onError === undefined) {
      run();
      return;
    }
    try {
      run();
    } catch (error) {
      this.onError(error, body);
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
      this.guard(body, () => this.perform(effect));
    }
  }
}
