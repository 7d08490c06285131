/** Watches the platform's configuration service for changes. */
import {EventBody} from '../core/types.js';
import {WatchAnswerSchema} from '../model/platform.js';
import {ConnectionPools} from './connection_pools.js';
import {RunningExchange, startExchange} from './http_exchange.js';

/** Time allowed for the answer beyond the requested wait. */
const WATCH_GRACE_MS = 2_000;
const MAX_ANSWER_BYTES = 16 * 1_048_576;
const EMPTY_BODY = new Uint8Array(0);

export class SourceClient {
  private currentExchange?: RunningExchange;

  constructor(
    private readonly address: string,
    private readonly pools: ConnectionPools,
    private readonly post: (event: EventBody) => void,
  ) {}

  /**
   * Makes one watch call and posts its result as an event.
   * @param afterSequence - The last known sequence number.
   * @param vmRevision - The last known revision of the VM list.
   * @param waitMs - How long the platform may wait for a change.
   */
  async watch(
    afterSequence: number,
    vmRevision: number,
    waitMs: number,
  ): Promise<void> {
    const exchange = startExchange(this.pools.get(this.address), {
      method: 'GET',
      path: `/v1/watch?after=${afterSequence}&vms=${vmRevision}&waitMs=${waitMs}`,
      headers: {accept: 'application/json'},
      body: EMPTY_BODY,
      timeoutMs: waitMs + WATCH_GRACE_MS,
      maxAnswerBytes: MAX_ANSWER_BYTES,
    });
    this.currentExchange = exchange;
    const answer = await exchange.result;
    if (answer.isErr()) {
      this.post({kind: 'sourceFailed', detail: answer.error});
      return;
    }
    const {status, body} = answer.value;
    const parsed = parseWatchAnswer(body);
    if (status !== 200 || parsed === undefined) {
      this.post({kind: 'sourceFailed', detail: `HTTP status ${status}`});
      return;
    }
    this.post({kind: 'sourceAnswered', ...parsed});
  }

  /** Aborts the watch call in progress, if any. */
  abort(): void {
    this.currentExchange?.abort();
  }
}

function parseWatchAnswer(body: Uint8Array) {
  try {
    const text = Buffer.from(body).toString('utf8');
    return WatchAnswerSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}
