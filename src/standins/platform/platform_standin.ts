/**
 * Stand-in for the platform's configuration service. One listener offers reads
 * and watches to proxies. A second one, the control interface, lets operators
 * and tests publish submissions and inject faults.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {Server} from 'node:http';
import {err, ok, Result} from 'neverthrow';
import {createStandinError, StandinError} from '../errors.js';
import {
  closeServer,
  createJsonServer,
  JsonHandler,
  JsonRequest,
  listen,
  parseQuery,
  readJson,
} from '../json_server.js';
import {CallKind, CallRateLimiter} from './rate_limiter.js';
import {
  AfterQuerySchema,
  FaultBodySchema,
  PlatformOptions,
  PlatformOptionsSchema,
  PublishBodySchema,
  VmsBodySchema,
  WatchQuerySchema,
} from './options.js';
import {
  MAX_ANSWER_BYTES,
  Publications,
  getJsonByteLength,
} from './publications.js';

/**
 * Exceeds {@link MAX_ANSWER_BYTES}, so that a value slightly over it is still
 * parsed and refused as too large.
 */
const MAX_CONTROL_BODY_BYTES = 4 * MAX_ANSWER_BYTES;

export interface PlatformPorts {
  readonly port: number;
  readonly sidePort: number;
}

export class PlatformStandin {
  private readonly publications = new Publications();
  private readonly rateLimiter: CallRateLimiter;
  private readonly options: PlatformOptions;
  private readonly readServer: Server;
  private readonly controlServer: Server;
  private readonly vmTimers = new Set<NodeJS.Timeout>();
  private isDown = false;
  private latencyMs: number;

  /**
   * @param options - Parsed by {@link PlatformOptionsSchema}; throws if an
   *   option is invalid.
   * @param now - Monotonic clock in milliseconds.
   */
  constructor(
    options: Partial<PlatformOptions> = {},
    now: () => number = () => performance.now(),
  ) {
    this.options = PlatformOptionsSchema.parse(options);
    this.latencyMs = this.options.latencyMs;
    this.rateLimiter = new CallRateLimiter(this.options.callsPerSecond, now);
    this.readServer = this.createReadServer();
    this.controlServer = this.createControlServer();
  }

  /**
   * Starts both listeners.
   * @returns Their ports.
   */
  async start(): Promise<PlatformPorts> {
    const port = await listen(this.readServer, this.options.port);
    const sidePort = await listen(this.controlServer, this.options.sidePort);
    return {port, sidePort};
  }

  /** Closes both listeners and their connections. */
  async stop(): Promise<void> {
    this.vmTimers.forEach(timer => clearTimeout(timer));
    await closeServer(this.readServer);
    await closeServer(this.controlServer);
  }

  private createReadServer(): Server {
    const server = createJsonServer({
      '/v1/watch': {GET: this.rateLimited('watch', r => this.watch(r))},
      '/v1/submissions': {
        GET: this.rateLimited('submissions', async r =>
          this.readSubmissions(r),
        ),
      },
      '/v1/vms': {
        GET: this.rateLimited('vms', async () =>
          ok(this.publications.getVmList()),
        ),
      },
    });
    server.on('connection', socket => {
      if (this.isDown) {
        socket.destroy();
      }
    });
    return server;
  }

  private createControlServer(): Server {
    return createJsonServer({
      '/side/submissions': {POST: r => this.publish(r)},
      '/side/vms': {POST: r => this.replaceVms(r)},
      '/side/fault': {POST: r => this.setFault(r)},
      '/side/stats': {GET: async () => ok(this.getStats())},
    });
  }

  /** Wraps a handler with the rate limit and the configured latency. */
  private rateLimited(kind: CallKind, handler: JsonHandler): JsonHandler {
    return async request => {
      if (!this.rateLimiter.tryAcquire(kind)) {
        return err(createStandinError('too_many_calls'));
      }
      if (this.latencyMs > 0) {
        await sleep(this.latencyMs);
      }
      return handler(request);
    };
  }

  private async watch({
    url,
    signal,
  }: JsonRequest): Promise<Result<unknown, StandinError>> {
    const query = parseQuery(url, WatchQuerySchema);
    if (query.isErr()) {
      return err(query.error);
    }
    const {after, vms, waitMs} = query.value;
    const timeoutAt = performance.now() + waitMs;
    while (!this.publications.hasUpdates(after, vms) && !signal.aborted) {
      const remainingMs = timeoutAt - performance.now();
      if (remainingMs <= 0) {
        break;
      }
      await this.publications.waitForChange(remainingMs, signal);
    }
    return ok(this.publications.read(after, vms));
  }

  private readSubmissions({url}: JsonRequest): Result<unknown, StandinError> {
    return parseQuery(url, AfterQuerySchema).map(({after}) =>
      this.publications.read(after, undefined),
    );
  }

  private async publish({
    req,
  }: JsonRequest): Promise<Result<unknown, StandinError>> {
    const body = await readJson(req, PublishBodySchema, MAX_CONTROL_BODY_BYTES);
    return body.mapErr(mapToValueTooLarge).andThen(submission => {
      const sequence = this.publications.tryAppend(submission, Date.now());
      return sequence === undefined
        ? err(createStandinError('value_too_large', submission.id))
        : ok({sequence});
    });
  }

  private async replaceVms({
    req,
  }: JsonRequest): Promise<Result<unknown, StandinError>> {
    const body = await readJson(req, VmsBodySchema, MAX_CONTROL_BODY_BYTES);
    return body.mapErr(mapToValueTooLarge).andThen(({vms, lagMs}) => {
      if (getJsonByteLength(vms) > MAX_ANSWER_BYTES / 2) {
        return err(createStandinError('value_too_large', 'vms'));
      }
      const showsAfterMs = lagMs ?? this.options.vmLagMs;
      const timer = setTimeout(() => {
        this.vmTimers.delete(timer);
        this.publications.setVms(vms);
      }, showsAfterMs);
      this.vmTimers.add(timer);
      return ok({showsAfterMs});
    });
  }

  private async setFault({
    req,
  }: JsonRequest): Promise<Result<unknown, StandinError>> {
    const body = await readJson(req, FaultBodySchema, MAX_CONTROL_BODY_BYTES);
    return body.map(fault => {
      this.isDown = fault.down ?? this.isDown;
      this.latencyMs = fault.latencyMs ?? this.latencyMs;
      if (fault.staleAtSequence !== undefined) {
        this.publications.setStaleAt(fault.staleAtSequence ?? undefined);
      }
      if (this.isDown) {
        this.readServer.closeAllConnections();
      }
      return {down: this.isDown, latencyMs: this.latencyMs};
    });
  }

  private getStats() {
    return {
      calls: this.rateLimiter.getCounts(),
      waiting: this.publications.getWaiterCount(),
      head: this.publications.getHead(),
    };
  }
}

/** An oversized body contains an oversized value, so reports it as such. */
function mapToValueTooLarge(error: StandinError): StandinError {
  return error.code === 'body_too_large'
    ? createStandinError('value_too_large', error.detail)
    : error;
}
