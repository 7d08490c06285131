/** Receives attempts and control messages from other proxies. */
import {IncomingMessage, ServerResponse} from 'node:http';
import {Refusal} from '../core/refusals.js';
import {Answer, EventBody} from '../core/types.js';
import {
  Attempt,
  AttemptSchema,
  LoadReport,
  PeerReply,
  PeerRequest,
} from '../model/peer.js';
import {Settings} from '../model/settings.js';
import {MemoryBudget} from './memory_budget.js';
import {isBehindEnd} from './closing_connections.js';
import {createBodyRefusal, readBody, releaseAfter} from './read_body.js';
import {OutboundRequest} from './pending_calls.js';
import {
  ControlTraffic,
  CONTROL_PATH,
  createControlServer,
} from './control_channel.js';
import {ATTEMPT_HEADER, copyEndToEndHeaders} from './headers.js';
import {writeAttemptResult} from './http_results.js';

const MAX_CONTROL_REQUEST_BYTES = 8 * 1_048_576;

/** An attempt for the local upstream, from a peer or from this proxy itself. */
export interface ReceivedAttempt {
  readonly key?: string;
  readonly outbound: OutboundRequest;
  finish(result: Answer | Refusal, load: LoadReport): void;
}

export class PeerServer {
  /** Unfinished attempts, by attempt id. */
  readonly attempts = new Map<string, ReceivedAttempt>();
  private readonly pendingReplies = new Map<
    string,
    (reply: PeerReply) => void
  >();
  private readonly handleRpc: (text: string) => Promise<string>;
  private nextRequestId = 1;

  constructor(
    private readonly limits: Settings['limits'],
    private readonly traffic: ControlTraffic,
    private readonly post: (event: EventBody) => void,
    private readonly countBadInput: (kind: string) => void,
    private readonly memory: MemoryBudget,
  ) {
    this.handleRpc = createControlServer(
      request => this.requestReply(request),
      () => countBadInput('control_message'),
    );
  }

  async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const header = req.headers[ATTEMPT_HEADER];
    if (typeof header === 'string') {
      await this.handleAttempt(req, res, header);
      return;
    }
    if (req.method !== 'POST' || req.url !== CONTROL_PATH) {
      this.countBadInput('unknown_peer_path');
      req.resume();
      writeError(res, 404, `Send attempts, or POST ${CONTROL_PATH}.`);
      return;
    }
    await this.handleControl(req, res);
  }

  private async handleControl(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const body = await readBody(req, MAX_CONTROL_REQUEST_BYTES, this.memory);
    if (body.isErr()) {
      this.countBadInput('control_body');
      writeError(res, 413, `Send at most ${MAX_CONTROL_REQUEST_BYTES} bytes.`);
      return;
    }
    const {bytes, release} = body.value;
    this.traffic.receivedBytes += bytes.length;
    const message = Buffer.from(bytes).toString('utf8');
    release();
    const text = await this.handleRpc(message);
    const reply = Buffer.from(text);
    this.traffic.sentBytes += reply.length;
    res.writeHead(200, {
      'content-type': 'application/json',
      'content-length': reply.length,
    });
    res.end(reply);
  }

  /** Posts a request to the core; resolves to the reply that it sends. */
  private requestReply(request: PeerRequest): Promise<PeerReply> {
    const requestId = String(this.nextRequestId++);
    return new Promise(resolve => {
      this.pendingReplies.set(requestId, resolve);
      this.post({kind: 'peerAsked', requestId, request});
    });
  }

  /**
   * Sends the core's reply to a control message.
   * @param requestId - The `requestId` of the `peerAsked` event.
   * @param reply - The reply to send.
   */
  reply(requestId: string, reply: PeerReply): void {
    this.pendingReplies.get(requestId)?.(reply);
    this.pendingReplies.delete(requestId);
  }

  private async handleAttempt(
    req: IncomingMessage,
    res: ServerResponse,
    header: string,
  ): Promise<void> {
    const attempt = tryParseAttempt(header);
    if (attempt === undefined || this.attempts.has(attempt.attemptId)) {
      this.countBadInput('bad_attempt');
      req.resume();
      writeError(res, 400, `Send a valid ${ATTEMPT_HEADER} header, once.`);
      return;
    }
    const {attemptId} = attempt;
    const body = await readBody(req, this.limits.maxRequestBytes, this.memory);
    if (body.isErr()) {
      const refusal = createBodyRefusal(body.error);
      if (refusal !== undefined) {
        const load = {running: 0, queued: 0, slots: 0, leaving: false};
        writeAttemptResult(res, attemptId, refusal, load);
      }
      return;
    }
    releaseAfter(res, body.value.release);
    if (isBehindEnd(req)) {
      this.countBadInput('after_close');
      return;
    }
    this.attempts.set(attemptId, {
      key: attempt.key,
      outbound: {
        method: req.method ?? 'GET',
        path: req.url ?? '/',
        headers: copyEndToEndHeaders(req.headers),
        body: body.value.bytes,
      },
      finish: (result, load) =>
        writeAttemptResult(res, attemptId, result, load),
    });
    res.on('close', () => {
      if (!res.writableFinished && this.attempts.has(attemptId)) {
        this.post({kind: 'attemptCancelled', attemptId});
      }
    });
    this.post({kind: 'attemptArrived', attempt});
  }
}

function tryParseAttempt(header: string): Attempt | undefined {
  try {
    return AttemptSchema.safeParse(JSON.parse(header)).data;
  } catch {
    return undefined;
  }
}

function writeError(res: ServerResponse, status: number, message: string) {
  if (res.headersSent || res.destroyed) {
    return;
  }
  const body = JSON.stringify({error: {code: 'bad_request', message}});
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    connection: 'close',
  });
  res.end(body);
}
