/** Sends attempts to the proxies that own the chosen upstreams. */
import {EventBody} from '../core/types.js';
import {Attempt} from '../model/peer.js';
import {OutboundRequest} from './pending_calls.js';
import {ConnectionPools} from './connection_pools.js';
import {ATTEMPT_HEADER} from './headers.js';
import {RunningExchange, startExchange} from './http_exchange.js';
import {tryReadAttemptResult} from './http_results.js';

export class AttemptSender {
  /** Exchanges in progress, by attempt id. */
  private readonly exchanges = new Map<string, RunningExchange>();

  constructor(
    private readonly pools: ConnectionPools,
    private readonly maxAnswerBytes: number,
    private readonly post: (event: EventBody) => void,
  ) {}

  /**
   * Sends an attempt and posts its result or failure as an event. Posts
   * nothing if {@link cancel} is called first.
   * @param address - The owner's peer address.
   * @param attempt - The attempt to send.
   * @param outbound - The caller's request.
   */
  async send(
    address: string,
    attempt: Attempt,
    outbound: OutboundRequest,
  ): Promise<void> {
    const {attemptId, timeoutMs} = attempt;
    const exchange = startExchange(this.pools.get(address), {
      method: outbound.method,
      path: outbound.path,
      headers: {
        ...outbound.headers,
        [ATTEMPT_HEADER]: JSON.stringify(attempt),
      },
      body: outbound.body,
      timeoutMs,
      maxAnswerBytes: this.maxAnswerBytes,
    });
    this.exchanges.set(attemptId, exchange);
    const answer = await exchange.result;
    if (!this.exchanges.delete(attemptId)) {
      return;
    }
    if (answer.isErr()) {
      this.post({kind: 'attemptFailed', attemptId, failure: answer.error});
      return;
    }
    const received = tryReadAttemptResult(attemptId, answer.value);
    if (received === undefined) {
      this.post({kind: 'attemptFailed', attemptId, failure: 'truncated'});
      return;
    }
    this.post({kind: 'attemptAnswered', attemptId, ...received});
  }

  /**
   * Cancels an attempt by closing its connection, which its owner detects.
   * @param attemptId - The attempt to cancel.
   */
  cancel(attemptId: string): void {
    const exchange = this.exchanges.get(attemptId);
    this.exchanges.delete(attemptId);
    exchange?.abort();
  }
}
