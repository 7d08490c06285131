/** Signals of a daemon, from the first moment of its life. */

/** What a daemon does on signals. */
export interface SignalHandlers {
  /** A planned stop is requested; called at most once. */
  onStop(): void;
  /** The settings file may have changed. */
  onReload(): void;
}

/**
 * Keeps the signals that come while the rest of the program is loaded. Their
 * default action would end the process. This module has no imports, so that it
 * can be evaluated before all others.
 */
export class ProcessSignals {
  private stopRequested = false;
  private reloadRequested = false;
  private handlers?: SignalHandlers;

  constructor() {
    process.on('SIGHUP', () => this.requestReload());
    process.on('SIGTERM', () => this.requestStop());
    process.on('SIGINT', () => this.requestStop());
  }

  /**
   * Passes signals on, first those that came before.
   * @param handlers - Receives them.
   */
  attach(handlers: SignalHandlers): void {
    this.handlers = handlers;
    if (this.reloadRequested) {
      handlers.onReload();
    }
    if (this.stopRequested) {
      handlers.onStop();
    }
  }

  private requestReload(): void {
    this.reloadRequested = true;
    this.handlers?.onReload();
  }

  private requestStop(): void {
    if (!this.stopRequested) {
      this.stopRequested = true;
      this.handlers?.onStop();
    }
  }
}
