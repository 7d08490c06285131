/** Sends requests to several proxies concurrently and records the results. */
import {Caller, CallRequest, CallResult} from './caller.js';
import {ProxyProcess} from './proxy_process.js';

/** A request and its result. */
export interface LoadRecord {
  readonly call: CallRequest;
  /** Upstream of the proxy to which the request was sent last. */
  readonly proxyId: string;
  readonly result: CallResult;
  /** Number of proxies tried before that refused the connection. */
  readonly unreached: number;
}

export interface LoadPlan {
  /** Number of concurrent requests. */
  readonly workers: number;
  readonly proxies: readonly ProxyProcess[];
  /** Creates the n-th request. */
  createCall(n: number): CallRequest;
}

export class LoadGenerator {
  private readonly caller = new Caller();
  private readonly completed: LoadRecord[] = [];
  private readonly workers: ReadonlyArray<Promise<void>>;
  private isStopping = false;
  private nextCallIndex = 0;

  /**
   * Starts sending requests.
   * @param plan - The load to generate.
   */
  constructor(private readonly plan: LoadPlan) {
    this.workers = Array.from({length: plan.workers}, () => this.runWorker());
  }

  /** @returns Records of the requests completed so far. */
  get records(): readonly LoadRecord[] {
    return this.completed;
  }

  /**
   * Stops sending and waits for the requests in flight.
   * @returns Records of all requests.
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

  /**
   * Sends the n-th request to the next proxy in turn. A refused connection has
   * transmitted nothing, so the request is then sent to the proxy after it.
   */
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
 * Counts records by result.
 * @param records - The records.
 * @returns Number of records for each label of {@link describeResult}.
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
 * Describes a result in a short label.
 * @param result - The result.
 * @returns A label such as `answered 200` or `not-run (queue_full)`.
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
