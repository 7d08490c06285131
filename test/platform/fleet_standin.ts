/** A fleet on loopback with real proxies, and stand-ins for all else. */
import {once} from 'node:events';
import {
  Agent,
  IncomingMessage,
  Server,
  ServerResponse,
  createServer,
  request,
} from 'node:http';
import {AddressInfo, Socket} from 'node:net';
import {
  HEADER_NAMES,
  NESTED_SEPARATOR,
  READY_PATH,
} from '../../platform/header_names.js';
import {StoreClient} from '../../platform/store_client.js';
import {waitUntil} from '../../src/standins/harness/wait_for.js';
import {MeshRuntime} from '../../src/mesh/mesh_runtime.js';
import {MeshSettingsSchema} from '../../src/model/mesh_settings.js';
import {
  StoreStandin,
  createConfigDocument,
  createInstanceEntry,
} from './store_standin.js';

export interface Reply {
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
}

/** An upstream that answers with its id and records what it receives. */
export class UpstreamStandin {
  readonly receivedPaths: string[] = [];
  /** Arrival times of `receivedPaths`, by `performance.now()`. */
  readonly receivedAt: number[] = [];
  /** Headers in which it reports its own state, sent with each answer. */
  statusHeaders: Readonly<Record<string, string>> = {};
  /** Handles a request and its body; returns false to leave it to the rest. */
  takeRequest: (req: IncomingMessage, res: ServerResponse) => boolean = () =>
    false;
  /** Answers in place of a sound answer; returns false to leave it to that. */
  intercept: (path: string, requestId: string, res: ServerResponse) => boolean =
    () => false;
  /** Returns the status for a path; by default 200 at once. */
  answer: (path: string) => Promise<number> = () => Promise.resolve(200);
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();

  constructor(readonly id: string) {
    this.server = createServer((req, res) => {
      const {requestId, instance} = HEADER_NAMES;
      const isOwn = req.headers[instance] === this.id;
      if (isOwn && this.takeRequest(req, res)) {
        return;
      }
      req.resume();
      if (!isOwn) {
        res.writeHead(421, {'x-instance-id': this.id}).end();
        return;
      }
      const path = req.url ?? '';
      this.receivedPaths.push(path);
      this.receivedAt.push(performance.now());
      void this.answer(path).then(status => {
        const echo = String(req.headers[requestId]);
        if (this.intercept(path, echo, res)) {
          return;
        }
        const caller = String(req.headers[HEADER_NAMES.callerService]);
        res.writeHead(status, {
          [requestId]: echo,
          'x-response-signature': `signed-${this.id}`,
          ...this.statusHeaders,
        });
        res.end(`${this.id} for ${caller}`);
      });
    });
    this.server.on('connection', socket => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
  }

  async start(host: string, port = 0): Promise<string> {
    this.server.listen(port, host);
    await once(this.server, 'listening');
    return `${host}:${(this.server.address() as AddressInfo).port}`;
  }

  async stop(): Promise<void> {
    this.server.closeAllConnections();
    this.server.close();
    await once(this.server, 'close');
  }

  /**
   * Ends like a process that crashes: takes no connections for a while, and ends those
   * that are open.
   * @param reset - Resets them; otherwise they end in order, as those of a process do
   *     of which everything was read.
   * @param downMs - Time until it is back, in milliseconds.
   */
  crash(reset: boolean, downMs: number): void {
    const {address, port} = this.server.address() as AddressInfo;
    this.server.close();
    for (const socket of this.sockets) {
      if (reset) {
        socket.resetAndDestroy();
      } else {
        socket.destroy();
      }
    }
    setTimeout(() => this.server.listen(port, address), downMs);
  }
}

/** A machine with an upstream and a proxy, both in this process. */
export class Machine {
  private proxy?: MeshRuntime;
  /** Least level of what its proxy logs. */
  logLevel: 'error' | 'fatal' = 'error';
  upstreamAddress = '';

  constructor(
    readonly host: string,
    readonly upstream: UpstreamStandin,
    protected readonly ports: {
      readonly callers: number;
      readonly peers: number;
    },
    protected readonly storeAddress: string,
  ) {}

  get callersPort(): number {
    return this.ports.callers;
  }

  async start(): Promise<void> {
    await this.startUpstream();
    const {callers, peers} = this.ports;
    const settings = MeshSettingsSchema.parse({
      name: this.host,
      region: 'west',
      zone: 'north',
      service: 'desk',
      listen: {
        callers: `${this.host}:${callers}`,
        peers: `${this.host}:${peers}`,
        ready: `${this.host}:${callers + 1}`,
        operators: `${this.host}:${callers + 2}`,
      },
      upstream: this.upstreamAddress,
      source: this.storeAddress,
      readIntervalMs: 100,
      graceMs: 4_000,
      logLevel: this.logLevel,
    });
    this.proxy = new MeshRuntime(settings, {
      headerNames: HEADER_NAMES,
      nestedSeparator: NESTED_SEPARATOR,
      commonHeaders: [],
      readyPath: READY_PATH,
      createSource: (address, listener) => new StoreClient(address, listener),
    });
    await this.proxy.start();
  }

  protected async startUpstream(): Promise<void> {
    if (this.upstreamAddress === '') {
      this.upstreamAddress = await this.upstream.start(this.host);
    }
  }

  requestStop(): Promise<void> | undefined {
    this.proxy?.requestStop();
    return this.proxy?.stopped;
  }

  async stopProxy(): Promise<void> {
    await this.proxy?.close();
    this.proxy = undefined;
  }

  /** Sends a request from a caller on this machine. */
  async call(
    method: string,
    path: string,
    headers: Record<string, string> = {},
    port = this.ports.callers,
  ): Promise<Reply> {
    const agent = new Agent();
    const req = request({
      host: this.host,
      port,
      method,
      path,
      agent,
      headers: {
        host: 'shop.example',
        [HEADER_NAMES.requestId]: `r-${path}`,
        [HEADER_NAMES.timeoutMs]: '2000',
        ...headers,
      },
    });
    req.end();
    const [res] = (await once(req, 'response')) as [IncomingMessage];
    let body = '';
    for await (const chunk of res) {
      body += String(chunk);
    }
    return {status: res.statusCode ?? 0, headers: res.headers, body};
  }

  /** Reads from the readiness port (offset 1) or operator port (offset 2). */
  async getInternal(path: string, offset: 1 | 2): Promise<Reply> {
    return this.call('GET', path, {}, this.ports.callers + offset);
  }

  async isReady(): Promise<boolean> {
    return (await this.getInternal(READY_PATH, 1)).status === 200;
  }
}

/** Polls until a condition is true. */
export function waitForFleet(condition: () => Promise<boolean>): Promise<void> {
  return waitUntil('the fleet on the stand-in store', condition);
}

/** Finds free ports: four in a row, the first for callers. */
/** Ports below those that the system gives to outgoing connections. */
const FIRST_PORT = 15_000;
const LAST_PORT = 30_000;

/** Ports of one machine: callers, readiness, operators and peers. */
const PORTS_PER_MACHINE = 4;

/** Whether a port is free on all loopback addresses. */
async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  return new Promise(resolve => {
    server.once('error', () => resolve(false));
    server.listen(port, '0.0.0.0', () => server.close(() => resolve(true)));
  });
}

/**
 * Finds ports that are free on all loopback addresses. The system cannot choose them,
 * since all machines of a fleet have the same, and ones that it chose for one address
 * may be in use by connections of another.
 */
export async function findPorts(): Promise<{callers: number; peers: number}> {
  for (;;) {
    const span = LAST_PORT - FIRST_PORT - PORTS_PER_MACHINE;
    const callers = FIRST_PORT + Math.floor(Math.random() * span);
    const ports = Array.from(
      {length: PORTS_PER_MACHINE},
      (_, n) => callers + n,
    );
    const free = await Promise.all(ports.map(isFree));
    if (free.every(Boolean)) {
      return {callers, peers: callers + 3};
    }
  }
}

/** Starts and stops a store and machines, and registers their upstreams. */
export class FleetStandin<T extends Machine = Machine> {
  readonly store = new StoreStandin();
  readonly machines: T[] = [];

  /** @param createMachine - Creates one machine of the fleet. */
  constructor(
    private readonly createMachine: (
      ...args: ConstructorParameters<typeof Machine>
    ) => T,
  ) {}

  /**
   * @param count - Number of machines.
   * @param config - The configuration document.
   */
  async start(
    count: number,
    config: object = createConfigDocument(1),
  ): Promise<void> {
    const address = await this.store.start();
    this.store.put('op/config', config);
    const ports = await findPorts();
    for (let n = 1; n <= count; n += 1) {
      const upstream = new UpstreamStandin(`i-${n}`);
      const host = `127.0.1.${n}`;
      const machine = this.createMachine(host, upstream, ports, address);
      await machine.start();
      this.machines.push(machine);
      this.register(n);
    }
    for (const machine of this.machines) {
      await waitForFleet(() => machine.isReady());
      await waitForFleet(() => this.knowsAllInstances(machine));
    }
  }

  /** Stores the entry of the nth upstream. */
  register(n: number, overrides: object = {}): void {
    const {upstreamAddress} = this.machines[n - 1];
    this.store.put(
      `servers/i-${n}`,
      createInstanceEntry(upstreamAddress, overrides),
    );
  }

  async readStatus(machine: Machine): Promise<{
    readonly version: number;
    readonly instances: ReadonlyArray<{
      id: string;
      state: string;
      slots: number;
    }>;
    readonly peers: ReadonlyArray<{readonly address: string}>;
  }> {
    return JSON.parse((await machine.getInternal('/v1/status', 2)).body);
  }

  private async knowsAllInstances(machine: Machine): Promise<boolean> {
    const {instances, version} = await this.readStatus(machine);
    return instances.length === this.machines.length && version > 0;
  }

  async stop(): Promise<void> {
    await Promise.all(this.machines.map(machine => machine.stopProxy()));
    await Promise.all(this.machines.map(({upstream}) => upstream.stop()));
    await this.store.stop();
  }
}
