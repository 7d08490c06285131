/**
 * Stand-in for an upstream. It limits slots and connections, sheds requests,
 * honours deadlines and cancellation, simulates a cold start, can be drained,
 * and keeps a journal of the requests it ran. A second listener, the control
 * interface, returns the journal and injects faults.
 */
import {once} from 'node:events';
import {
  createServer,
  IncomingMessage,
  RequestListener,
  Server,
  ServerResponse,
} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {ok, Result} from 'neverthrow';
import {StandinError} from '../errors.js';
import {
  closeServer,
  createJsonListener,
  createJsonServer,
  JsonRequest,
  listen,
  parseRequestUrl,
  readBody,
  readJson,
  sendError,
} from '../json_server.js';
import {sendAnswer, sendRefusal, sendStopped} from './answers.js';
import {HealthReporter} from './health_reporter.js';
import {Journal, JournalSink} from './journal.js';
import {
  DrainBodySchema,
  HealthBodySchema,
  Marks,
  UpstreamOptions,
  UpstreamOptionsSchema,
} from './options.js';
import {readMarks, readProxyHeaders} from './request_reader.js';
import {runWork} from './work.js';

const MAX_BODY_BYTES = 16_777_216;
const MAX_CONTROL_BODY_BYTES = 65_536;

/** Longest wait for connections to close after the last request has ended. */
const DRAIN_CLOSE_TIMEOUT_MS = 1_000;

export interface UpstreamPorts {
  readonly port: number;
  readonly sidePort: number;
}

/** Functions of the process that runs the stand-in. */
export interface UpstreamHost {
  /** Current time, in Unix milliseconds. */
  now(): number;
  /** Called with each new or changed journal entry. */
  readonly onJournal: JournalSink;
  /** Ends the process immediately. */
  crash(): void;
}

export class UpstreamStandin {
  private readonly options: UpstreamOptions;
  private readonly journal: Journal;
  private readonly health: HealthReporter;
  private readonly server: Server;
  private readonly controlServer: Server;
  private readonly coldStartEndsAt: number;
  private isDraining = false;
  private running = 0;
  private shed = 0;
  private connectionsDropped = 0;
  private readonly idleWaiters: Array<() => void> = [];

  /**
   * @param options - Parsed by {@link UpstreamOptionsSchema}; throws if an
   *   option is invalid.
   * @param host - Functions of the process that runs the stand-in.
   */
  constructor(
    options: Partial<UpstreamOptions> & Pick<UpstreamOptions, 'id'>,
    private readonly host: UpstreamHost,
  ) {
    this.options = UpstreamOptionsSchema.parse(options);
    this.journal = new Journal(this.options.journalEntries, host.onJournal);
    this.health = new HealthReporter(this.options.healthLagMs, host.now);
    this.coldStartEndsAt = host.now() + this.options.coldStartMs;
    this.server = createServer(this.createListener());
    this.server.maxConnections = this.options.connections;
    this.server.on('drop', () => (this.connectionsDropped += 1));
    this.controlServer = this.createControlServer();
  }

  /**
   * Starts both listeners.
   * @returns Their ports.
   */
  async start(): Promise<UpstreamPorts> {
    const port = await listen(this.server, this.options.port);
    const sidePort = await listen(this.controlServer, this.options.sidePort);
    return {port, sidePort};
  }

  /**
   * Refuses new requests, waits for the running ones, then closes both
   * listeners.
   */
  async drain(): Promise<void> {
    this.setDraining(true);
    if (this.running > 0) {
      await new Promise<void>(resolve => this.idleWaiters.push(resolve));
    }
    // close() leaves connections open that still send a response.
    this.server.close();
    const closed = once(this.server, 'close');
    await Promise.race([
      closed,
      sleep(DRAIN_CLOSE_TIMEOUT_MS, undefined, {ref: false}),
    ]);
    await this.stop();
  }

  /** Closes both listeners and their connections immediately. */
  async stop(): Promise<void> {
    await closeServer(this.server);
    await closeServer(this.controlServer);
  }

  private createListener(): RequestListener {
    const healthListener = createJsonListener({
      '/health': {
        GET: async () => ok({status: this.health.getReportedHealth().status}),
      },
      '/load': {GET: async () => ok(this.getReportedLoad())},
    });
    return (req, res) => {
      const {pathname} = parseRequestUrl(req);
      if (pathname === '/health' || pathname === '/load') {
        healthListener(req, res);
      } else {
        void this.serve(req, res);
      }
    };
  }

  private createControlServer(): Server {
    return createJsonServer({
      '/side/journal': {GET: async () => ok(this.journal.read())},
      '/side/stats': {GET: async () => ok(this.getStats())},
      '/side/health': {POST: r => this.setHealth(r)},
      '/side/drain': {POST: r => this.setDrainMode(r)},
    });
  }

  private async serve(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    if (this.isDraining || this.running >= this.options.slots) {
      this.shed += 1;
      sendRefusal(res, this.isDraining ? 'draining' : 'shed');
      return;
    }
    this.adjustRunning(1);
    try {
      await this.run(req, res);
      if (!res.closed) {
        await once(res, 'close');
      }
    } finally {
      this.adjustRunning(-1);
    }
  }

  private async run(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = parseRequestUrl(req);
    const abort = new AbortController();
    res.on('close', () => abort.abort());
    const body = await readBody(req, MAX_BODY_BYTES);
    const parsed = Result.combine([readMarks(req, url), readProxyHeaders(req)]);
    if (body.isErr() || parsed.isErr()) {
      const error = body.isErr() ? body.error : parsed._unsafeUnwrapErr();
      return res.destroyed ? undefined : sendError(res, error);
    }
    const [marks, {attemptId, key, deadlineMs}] = parsed.value;
    const entry = this.journal.start({
      upstreamId: this.options.id,
      key,
      attemptId,
      method: req.method ?? '',
      path: url.pathname,
      startedAt: this.host.now(),
    });
    const end = await runWork(this.getWorkMs(marks), deadlineMs, abort.signal);
    if (marks.crash) {
      return this.host.crash();
    }
    if (end !== 'finished') {
      this.journal.cancel(entry, end);
      sendStopped(res, end);
      return;
    }
    this.journal.finish(entry, this.host.now());
    const served = {upstreamId: this.options.id, entry, body: body.value};
    sendAnswer(req, res, served, marks);
  }

  private getWorkMs(marks: Marks): number {
    const workMs = marks.workMs ?? this.options.workMs;
    const isCold = this.host.now() < this.coldStartEndsAt;
    return isCold ? workMs * this.options.coldStartFactor : workMs;
  }

  private adjustRunning(change: 1 | -1): void {
    this.running += change;
    this.recordHealth();
    if (this.running === 0) {
      this.idleWaiters.splice(0).forEach(resolve => resolve());
    }
  }

  private setDraining(draining: boolean): void {
    this.isDraining = draining;
    this.recordHealth();
  }

  private recordHealth(): void {
    this.health.record(this.isDraining ? 'draining' : 'ok', this.running);
  }

  private getReportedLoad() {
    return {
      running: this.health.getReportedHealth().running,
      slots: this.options.slots,
    };
  }

  private getStats() {
    return {
      running: this.running,
      shed: this.shed,
      connectionsDropped: this.connectionsDropped,
      draining: this.isDraining,
    };
  }

  private async setHealth({
    req,
  }: JsonRequest): Promise<Result<unknown, StandinError>> {
    const body = await readJson(req, HealthBodySchema, MAX_CONTROL_BODY_BYTES);
    return body.map(({lagMs, pretend}) => {
      if (lagMs !== undefined) {
        this.health.setLag(lagMs);
      }
      if (pretend !== undefined) {
        this.health.overrideStatus(pretend ?? undefined);
      }
      return this.health.getReportedHealth();
    });
  }

  private async setDrainMode({
    req,
  }: JsonRequest): Promise<Result<unknown, StandinError>> {
    const body = await readJson(req, DrainBodySchema, MAX_CONTROL_BODY_BYTES);
    return body.map(({draining}) => {
      this.setDraining(draining);
      return this.getStats();
    });
  }
}
