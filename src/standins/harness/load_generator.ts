/** Keeps requests going through several proxies and records what came back. */
import {Caller, CallRequest, CallResult} from './caller.js';
import {ProxyProcess} from './proxy_process.js';

/** One request of the load. */
export interface LoadRecord {
  readonly call: CallRequest;
  /** Upstream beside the proxy that was asked last. */
  readonly proxyId: string;
  readonly result: CallResult;
  /** Proxies that refused the connection before one took the request. */
  readonly unreached: number;
}

export interface LoadPlan {
  /** Requests that are under way at the same time. */
  readonly workers: number;
  readonly proxies: readonly ProxyProcess[];
  /** Makes the n-th request. */
  createCall(n: number): CallRequest;
}

export class LoadGenerator {
  private readonly caller = new Caller();
  private readonly completed: LoadRecord[] = [];
  private readonly workers: ReadonlyArray<Promise<void>>;
  private isStopping = false;
  private nextCallIndex = 0;

  /** @param plan - The load, which starts at once. */
  constructor(private readonly plan: LoadPlan) {
    this.workers = Array.from({length: plan.workers}, () => this.runWorker());
  }

  /** @returns What has come back so far. */
  get records(): readonly LoadRecord[] {
    return this.completed;
  }

  /**
   * Sends no further requests and waits for those under way.
   * @returns All records.
   */
  async stop(): Promise<readonly LoadRecord[]> {
    this.isStopping = true;
    await Promise.all(this.workers);
    await this.caller.close();
    return this.completed;
  }

  private async runWorker(): Promise<void> {
    while (!this.isStopping) {
      const n = this.nextCallIndex;
      this.nextCallIndex += 1;
      this.completed.push(await this.sendToFirstReachable(n));
    }
  }

  /** A refused connection carries nothing, so the next proxy is asked. */
  private async sendToFirstReachable(n: number): Promise<LoadRecord> {
    const {proxies} = this.plan;
    const call = this.plan.createCall(n);
    for (let unreached = 0; ; unreached += 1) {
      const proxy = proxies[(n + unreached) % proxies.length];
      const result = await this.caller.send(proxy.ports.callers, call);
      const isLast = unreached === proxies.length - 1;
      if (result.kind !== 'unreached' || isLast) {
        return {call, proxyId: proxy.id, result, unreached};
      }
    }
  }
}

/**
 * Counts records by what the caller got.
 * @param records - The records.
 * @returns Counts by kind, status and reason, such as `answered 200`.
 */
export function countResults(
  records: readonly LoadRecord[],
): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const {result} of records) {
    const label = describeResult(result);
    counts[label] = (counts[label] ?? 0) + 1;
  }
  return counts;
}

/**
 * Names what a caller got.
 * @param result - The result.
 * @returns Its kind with the status, reason or cause.
 */
export function describeResult(result: CallResult): string {
  switch (result.kind) {
    case 'answered':
    case 'foreign':
      return `${result.kind} ${result.status}`;
    case 'refused':
      return `${result.outcome} (${result.reason})`;
    case 'cut':
      return `cut (${result.detail})`;
    case 'unreached':
      return 'unreached';
  }
}
