/* global Buffer, URL, clearInterval, clearTimeout, performance, process, setInterval, setTimeout */
/**
 * Runs proxies of the deployed bundle as processes on loopback, with stand-ins for the
 * platform's store, the targets and the platform's process supervision.
 */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {createServer, request} from 'node:http';
import {createServer as createTcpServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

/** The command of the deploy file. */
const COMMAND = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
  .match(/^run = "([^"]+)"/m)[1]
  .split(' ');
const TEMPLATE = readFileSync(
  join(ROOT, 'deploy/settings.json.template'),
  'utf8',
);

const HEARTBEAT_MS = 1_500;
const GRACE_MS = 6_000;
const HOST = 'shop.example';

export {sleep};

/** Waits until a condition holds, or fails. */
export async function waitFor(what, condition, timeoutMs = 20_000) {
  const endsAt = performance.now() + timeoutMs;
  while (!(await condition())) {
    if (performance.now() > endsAt) {
      throw new Error(`timed out waiting for ${what}`);
    }
    await sleep(50);
  }
}

/** Writes what was sent, answered and run. */
export class Recorder {
  constructor(file) {
    this.file = file;
    this.startedAt = performance.now();
    writeFileSync(file, '');
  }

  write(text) {
    const seconds = ((performance.now() - this.startedAt) / 1_000).toFixed(3);
    appendFileSync(this.file, `${seconds.padStart(8)} s  ${text}\n`);
  }
}

/** The platform's store, read-only for the system. */
export class Store {
  revision = 100;
  items = new Map();
  changes = [];
  doors = [];

  /**
   * Opens an address of the store for one machine.
   * @returns The address, and `silent`: whether the store gives it no answers.
   */
  async open() {
    const door = {silent: false};
    door.server = createServer((req, res) => this.handle(req, res, door));
    door.server.listen(0, '127.0.0.1');
    await once(door.server, 'listening');
    door.address = `127.0.0.1:${door.server.address().port}`;
    this.doors.push(door);
    return door;
  }

  put(key, value) {
    this.revision += 1;
    const item = {
      key,
      value: Buffer.from(JSON.stringify(value)).toString('base64'),
      revision: this.revision,
      'created-rev': this.items.get(key)?.['created-rev'] ?? this.revision,
      lease: 0,
    };
    this.items.set(key, item);
    this.changes.push(item);
  }

  remove(key) {
    this.revision += 1;
    this.items.delete(key);
    this.changes.push({key, revision: this.revision, removed: true});
  }

  handle(req, res, door) {
    const url = new URL(req.url, 'http://store');
    const get = name => url.searchParams.get(name) ?? '';
    const at = {'store-revision': this.revision};
    const reply = (status, value) => {
      if (door.silent) {
        return;
      }
      res.writeHead(status, {'content-type': 'application/json'});
      res.end(JSON.stringify(value));
    };
    // The answer of the store takes 4 ms.
    setTimeout(() => {
      if (url.pathname === '/kv-range') {
        const items = [...this.items.values()]
          .filter(
            ({key}) => key.startsWith(get('prefix')) && key > get('after'),
          )
          .sort((a, b) => (a.key < b.key ? -1 : 1));
        reply(200, {items, 'has-more': false, ...at});
      } else if (url.pathname === '/kv-key') {
        const item = this.items.get(get('key'));
        item ? reply(200, {...item, ...at}) : reply(404, {error: 'no key'});
      } else if (url.pathname === '/kv-watch') {
        this.watch(get('prefix'), Number(get('after')), get('wait-ms'), reply);
      } else {
        reply(404, {error: 'no path'});
      }
    }, 4);
  }

  watch(prefix, after, waitMs, reply) {
    const endsAt = performance.now() + Number(waitMs);
    const timer = setInterval(() => {
      const events = this.changes.filter(
        ({key, revision}) => revision > after && key.startsWith(prefix),
      );
      if (events.length > 0 || performance.now() >= endsAt) {
        clearInterval(timer);
        reply(200, {events, 'store-revision': this.revision});
      }
    }, 10);
  }

  stop() {
    for (const {server} of this.doors) {
      server.closeAllConnections();
      server.close();
    }
  }
}

let bootCount = 0;

/** A sound target: runs up to `slots` requests at once and sheds beyond its queue. */
export class Target {
  running = 0;
  waiting = [];
  sockets = new Set();

  /**
   * @param work Returns for a run `{ms, body, crash, statusLine, isUnframed}`.
   * @param onRun Called when the target begins to work on a request.
   */
  constructor(fleet, host, service, work, onRun) {
    Object.assign(this, {fleet, host, service, work, onRun});
  }

  async start(port = 0) {
    bootCount += 1;
    this.id = `i-${bootCount}${Math.random().toString(16).slice(2, 8)}`;
    this.seq = 0;
    this.running = 0;
    this.waiting = [];
    this.server = createServer({keepAliveTimeout: 10_000}, (req, res) =>
      this.handle(req, res),
    );
    this.server.on('connection', socket => {
      this.sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => this.sockets.delete(socket));
    });
    this.server.listen(port, this.host);
    await once(this.server, 'listening');
    this.port = this.server.address().port;
    this.address = `${this.host}:${this.port}`;
    this.beat();
    this.timer = setInterval(() => this.beat(), HEARTBEAT_MS);
  }

  beat() {
    this.seq += 1;
    this.fleet.store.put(`servers/${this.id}`, {
      service: this.service,
      address: this.address,
      zone: 'north',
      version: 'v1',
      slots: this.fleet.slots,
      state: 'ready',
      'cold-left': '0ms',
      seq: this.seq,
    });
  }

  handle(req, res) {
    const bytes = [];
    let size = 0;
    req.on('data', chunk => {
      size += chunk.length;
      if (size < 65_536) {
        bytes.push(chunk);
      }
    });
    req.on('error', () => undefined);
    req.on('end', () => {
      const id = req.headers['x-request-id'];
      const echo = id === undefined ? {} : {'x-request-id': id};
      if (req.headers['x-target-instance'] !== this.id) {
        res.writeHead(421, {...echo, 'x-instance-id': this.id}).end();
      } else if (this.running + this.waiting.length >= this.fleet.slots * 5) {
        res.writeHead(503, {...echo, 'x-not-executed': '1'}).end();
      } else {
        this.waiting.push({req, res, id, echo, size});
        this.runNext();
      }
    });
  }

  runNext() {
    while (this.running < this.fleet.slots && this.waiting.length > 0) {
      const call = this.waiting.shift();
      if (call.res.destroyed) {
        continue;
      }
      this.running += 1;
      const {
        ms,
        body = 'ok',
        crash,
        ...form
      } = this.work(call.req, call.size, this);
      this.onRun?.(this, call.req, call.id, call.size);
      if (crash) {
        setTimeout(() => this.crash(crash.backAfterMs), ms);
        return;
      }
      const {server} = this;
      setTimeout(() => {
        if (server !== this.server) {
          return;
        }
        this.running -= 1;
        if (!call.res.destroyed) {
          this.answer(call, body, form);
        }
        this.runNext();
      }, ms);
    }
  }

  answer({res, id, echo}, body, {statusLine, isUnframed}) {
    const signature = `sig.${this.id}.${id}`;
    if (isUnframed) {
      // Without a length the end of the connection ends the body.
      res.useChunkedEncodingByDefault = false;
      res.removeHeader('transfer-encoding');
      res.writeHead(200, {
        ...echo,
        'x-response-signature': signature,
        connection: 'close',
      });
      res.end(body);
      return;
    }
    if (statusLine === undefined) {
      res.writeHead(200, {...echo, 'x-response-signature': signature});
      res.end(body);
      return;
    }
    res.socket.end(
      `${statusLine}\r\nX-Request-Id: ${id}\r\n` +
        `X-Response-Signature: ${signature}\r\n` +
        `Content-Length: ${body.length}\r\n\r\n${body}`,
    );
  }

  /** Ends like a crashed process; a new boot with a new id follows. */
  crash(backAfterMs) {
    if (this.server === undefined) {
      return;
    }
    const {id, server} = this;
    this.server = undefined;
    clearInterval(this.timer);
    this.sockets.forEach(socket => socket.resetAndDestroy());
    server.close();
    this.fleet.record(`target ${id} crashed`);
    setTimeout(
      () => this.fleet.store.remove(`servers/${id}`),
      3 * HEARTBEAT_MS,
    );
    setTimeout(async () => {
      if (!this.stopped) {
        await this.start(this.port);
        this.fleet.record(`target at ${this.address} is back as ${this.id}`);
      }
    }, backAfterMs);
  }

  stop() {
    this.stopped = true;
    clearInterval(this.timer);
    this.server?.closeAllConnections();
    this.server?.close();
  }
}

/** A machine of the platform: a target and the proxy process beside it. */
export class Machine {
  startedAt = -Infinity;
  peakMb = 0;
  /** Consecutive questions without a 200; after two, clients send nothing new. */
  misses = 2;
  ends = [];

  constructor(fleet, host, target, door, linkMbps) {
    Object.assign(this, {fleet, host, target, door, linkMbps});
  }

  render() {
    const {ports} = this.fleet;
    const values = {
      'node-name': this.host,
      region: 'west',
      zone: 'north',
      service: this.target.service,
      ip: this.host,
      listen: {
        outbound: `${this.host}:${ports[0]}`,
        ready: `${this.host}:${ports[1]}`,
      },
      'internal-ports': [ports[2], ports[3]],
      'app-addr': this.target.address,
      platform: {address: this.door.address},
      limits: {'link-mbps': this.linkMbps},
      heartbeat: `${HEARTBEAT_MS}ms`,
      contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover'],
      bounds: {
        'stable-window': '3000ms',
        drain: '2000ms',
        grace: `${GRACE_MS}ms`,
        'config-apply': '2000ms',
        'retry-budget': '0.2',
        'budget-window': '10s',
        'budget-extra': '60',
      },
    };
    return TEMPLATE.replace(/\{\{([^}|]+)(\|json)?\}\}/g, (_, path, json) => {
      const value = path.split('.').reduce((at, key) => at[key], values);
      return json === undefined ? String(value) : JSON.stringify(value);
    });
  }

  /** Starts the proxy, and again whenever its process ends. */
  start() {
    const file = join(this.fleet.dir, `${this.host}.json`);
    writeFileSync(file, this.render());
    const [, ...args] = COMMAND;
    const child = spawn(process.execPath, args, {
      cwd: ROOT,
      stdio: ['ignore', 'pipe', 'pipe'],
      env: {PATH: process.env.PATH, FIREFLYSILL_SETTINGS: file},
    });
    this.log = [];
    const keep = chunk => this.onOutput(String(chunk));
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    this.child = child;
    this.startedAt = performance.now();
    this.exited = once(child, 'exit').then(([code, signal]) => {
      this.fleet.record(`proxy ${this.host} ended: ${signal ?? code}`);
      this.ends.push({at: performance.now(), code, signal});
      if (!this.fleet.stopping) {
        setTimeout(() => this.fleet.stopping || this.start(), 300);
      }
    });
  }

  onOutput(text) {
    if (this.fleet.logFile !== undefined) {
      appendFileSync(this.fleet.logFile, text);
    }
  }

  get residentMb() {
    try {
      const status = readFileSync(`/proc/${this.child.pid}/status`, 'utf8');
      return Number(status.match(/^VmRSS:\s+(\d+)/m)?.[1] ?? 0) / 1_024;
    } catch {
      return 0;
    }
  }

  /** Kills the process if it exceeds its memory, as the platform does. */
  enforceMemory(memoryMb) {
    const {residentMb} = this;
    this.peakMb = Math.max(this.peakMb, residentMb);
    if (residentMb > memoryMb && this.child.exitCode === null) {
      const used = `${Math.round(residentMb)} of ${memoryMb} MB`;
      this.fleet.record(`platform kills proxy ${this.host}: ${used}`);
      this.child.kill('SIGKILL');
    }
  }

  /** SIGTERM, and SIGKILL after the grace period; the proxy is started again. */
  async restart() {
    const {child, exited} = this;
    this.fleet.record(`SIGTERM to proxy ${this.host}`);
    child.kill('SIGTERM');
    const timer = setTimeout(() => child.kill('SIGKILL'), GRACE_MS);
    await exited;
    clearTimeout(timer);
  }

  async isReady() {
    const reply = await send(this.host, this.fleet.ports[1], {path: '/ready'});
    return reply.status === 200;
  }

  get isIn() {
    return this.misses < 2;
  }

  /** Whether clients send new work: not if it is out, unless most of its zone is. */
  get mayBeUsed() {
    const {machines} = this.fleet;
    const inCount = machines.filter(({isIn}) => isIn).length;
    return this.isIn || inCount < machines.length / 2;
  }

  async pollReadiness() {
    this.misses = (await this.isReady()) ? 0 : this.misses + 1;
  }

  /** Sends a request of a client on this machine. */
  call(options) {
    return send(this.host, this.fleet.ports[0], options);
  }

  /** Sends a request of a client on this machine that reads its answer slowly. */
  download(options) {
    return download(this.host, this.fleet.ports[0], options);
  }

  async status() {
    const {body} = await send(this.host, this.fleet.ports[3], {
      path: '/v1/status',
    });
    return body === undefined ? {instances: []} : JSON.parse(body);
  }
}

/** Sends a request; status 0: the connection ended without a complete answer. */
export function send(
  host,
  port,
  {method = 'GET', path, id, deadlineMs = 2_500, body, agent},
) {
  return new Promise(resolve => {
    const req = request({
      host,
      port,
      method,
      path,
      agent: agent ?? false,
      headers: {
        host: HOST,
        ...(id === undefined
          ? {}
          : {'x-request-id': id, 'x-deadline-ms': String(deadlineMs)}),
        ...(body === undefined ? {} : {'content-length': body.length}),
      },
    });
    const timer = setTimeout(() => req.destroy(), deadlineMs + 500);
    const finish = reply => {
      clearTimeout(timer);
      resolve(reply);
    };
    req.on('error', error => finish({status: 0, error: error.code}));
    req.on('response', res => {
      const chunks = [];
      res.on('data', chunk => chunks.push(chunk));
      res.on('error', error => finish({status: 0, error: error.code}));
      res.on('close', () => {
        const text = Buffer.concat(chunks).toString();
        finish(
          res.complete
            ? {status: res.statusCode, headers: res.headers, body: text}
            : {status: 0, error: 'cut in the answer'},
        );
      });
    });
    req.end(body);
  });
}

/**
 * Downloads with a slow reader.
 * @returns Status, bytes read, and whether the answer looked complete.
 */
export function download(host, port, {path, id, deadlineMs, bytesPerSecond}) {
  return new Promise(resolve => {
    const startedAt = performance.now();
    const reply = {status: 0, bytes: 0, isComplete: false};
    const headers = {
      host: HOST,
      'x-request-id': id,
      'x-deadline-ms': String(deadlineMs),
    };
    const req = request({host, port, path, agent: false, headers});
    let gaveUp = false;
    const timer = setTimeout(() => {
      gaveUp = true;
      req.destroy();
    }, deadlineMs);
    const finish = ({isComplete = false, error}) => {
      clearTimeout(timer);
      const tookMs = performance.now() - startedAt;
      const result = {...reply, isComplete: isComplete && !gaveUp, tookMs};
      resolve({...result, error: gaveUp ? 'the client gave up' : error});
    };
    req.on('error', error => finish({error: error.code}));
    req.on('response', res => {
      reply.status = res.statusCode;
      reply.length = res.headers['content-length'];
      res.on('data', chunk => {
        reply.bytes += chunk.length;
        res.pause();
        const pauseMs = (chunk.length / bytesPerSecond) * 1_000;
        setTimeout(() => res.resume(), pauseMs);
      });
      res.on('error', error => finish({error: error.code}));
      res.on('close', () => finish({isComplete: res.complete}));
    });
    req.end();
  });
}

/** Ports below those that the system gives to outgoing connections. */
const FIRST_PORT = 15_000;
const LAST_PORT = 30_000;

/** Finds ports that are free on all loopback addresses. */
async function findPorts(count) {
  const ports = [];
  const servers = [];
  while (ports.length < count) {
    const span = LAST_PORT - FIRST_PORT;
    const port = FIRST_PORT + Math.floor(Math.random() * span);
    const server = createTcpServer();
    const isFree = await new Promise(resolve => {
      server.once('error', () => resolve(false));
      server.listen(port, '0.0.0.0', () => resolve(true));
    });
    if (isFree) {
      servers.push(server);
      ports.push(port);
    }
  }
  await Promise.all(
    servers.map(server => new Promise(resolve => server.close(resolve))),
  );
  return ports;
}

/** Store, machines and configuration of a small deployment. */
export class Fleet {
  machines = [];
  stopping = false;

  constructor(recorder, {slots = 6, routes, logFile, linksMbps = []} = {}) {
    Object.assign(this, {recorder, slots, routes, logFile, linksMbps});
    this.dir = mkdtempSync(join(tmpdir(), 'review-'));
    this.store = new Store();
  }

  record(text) {
    this.recorder.write(text);
  }

  async start(services, work, onRun) {
    this.ports = await findPorts(4);
    this.store.put('op/config', this.createConfig(services));
    for (const [n, service] of services.entries()) {
      const host = `127.0.1.${n + 1}`;
      const target = new Target(this, host, service, work, onRun);
      await target.start();
      const door = await this.store.open();
      const linkMbps = this.linksMbps[n] ?? 1_000;
      const machine = new Machine(this, host, target, door, linkMbps);
      machine.start();
      this.machines.push(machine);
    }
    await waitFor('the proxies', async () => {
      const ready = await Promise.all(this.machines.map(m => m.isReady()));
      return ready.every(Boolean);
    });
    await waitFor('the registrations', async () => {
      const states = await Promise.all(this.machines.map(m => m.status()));
      return states.every(
        ({instances}) => instances.length === services.length,
      );
    });
    const poll = () => this.machines.forEach(m => void m.pollReadiness());
    poll();
    this.poller = setInterval(poll, 1_000);
    this.record(`fleet of ${services.length} machines is ready`);
  }

  createConfig(services) {
    const names = [...new Set(services)];
    return {
      version: 7,
      routes: Object.fromEntries(
        Object.entries(this.routes).map(([name, route]) => [
          name,
          {host: HOST, attempts: 2, priority: 1, ...route},
        ]),
      ),
      services: Object.fromEntries(
        names.map(name => [
          name,
          {
            'health-path': '/healthz',
            'max-conns': 120,
            protocol: 'h1',
            tls: false,
          },
        ]),
      ),
      limits: {
        'max-header-bytes': 16_384,
        'max-body-bytes': 67_108_864,
        'header-timeout': '3000ms',
        'idle-timeout': '15000ms',
      },
      'base-version': 5,
    };
  }

  async stop() {
    this.stopping = true;
    clearInterval(this.poller);
    for (const {child, target} of this.machines) {
      child?.kill('SIGKILL');
      target.stop();
    }
    await Promise.all(this.machines.map(({exited}) => exited));
    this.store.stop();
    rmSync(this.dir, {recursive: true, force: true});
  }
}

/** Runs a case: exit code 1 if it returns false, 0 if true, 2 if it fails. */
export async function runCase(folder, run) {
  const recorder = new Recorder(join(folder, 'record.txt'));
  const trouble = process.env.TROUBLE !== '0';
  recorder.write(trouble ? 'with the disruption' : 'TROUBLE=0');
  const limit = setTimeout(() => {
    recorder.write('case took too long');
    cleanUp().finally(() => process.exit(2));
  }, 115_000);
  let fleet;
  const cleanUp = async () => fleet?.stop();
  for (const signal of ['SIGINT', 'SIGTERM']) {
    process.on(signal, () => void cleanUp().finally(() => process.exit(2)));
  }
  for (const event of ['uncaughtException', 'unhandledRejection']) {
    process.on(event, error => {
      recorder.write(`could not run: ${error?.stack ?? error}`);
      void cleanUp().finally(() => process.exit(2));
    });
  }
  let code = 2;
  try {
    const held = await run({
      recorder,
      trouble,
      createFleet: options => (fleet = new Fleet(recorder, options)),
    });
    recorder.write(held ? 'the rule held' : 'THE RULE WAS BROKEN');
    code = held ? 0 : 1;
  } catch (error) {
    recorder.write(`could not run: ${error.stack}`);
  }
  await cleanUp();
  clearTimeout(limit);
  process.exit(code);
}
