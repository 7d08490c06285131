/**
 * Soak of the deployed bundle: 12 proxies of one zone, so that updates pass relays,
 * as processes on loopback. Signals, restarts, store outages and new versions come in
 * series and overlap, while callers keep their connections open, or leave. One seed runs by
 * default; `SOAK_SEEDS=1-50` selects a range.
 */
import {Agent, IncomingMessage, request} from 'node:http';
import {once} from 'node:events';
import {HEADER_NAMES} from '../../platform/header_names.js';
import {SeededRandom} from '../../src/experiments/seeded_random.js';
import {expect} from '../support/chai_setup.js';
import {FleetStandin, waitForFleet} from './fleet_standin.js';
import {ProcessMachine} from './process_machine.js';
import {createConfigDocument} from './store_standin.js';

const MACHINES = 12;
const FAULTS_MS = 12_000;
const MEAN_FAULT_GAP_MS = 700;
const VERSION_GAP_MS = 800;
const CALL_GAP_MS = 60;

/** The users' bounds: a version in force, and calm time until a proxy is in touch. */
const MAX_VERSION_DELAY_MS = 2_500;
const STABLE_MS = 3_000;

/** The users' bound on the time from a caller's departure to the start of a run. */
const MAX_START_AFTER_DEPARTURE_MS = 500;

/** Share of callers that leave early, and the longest time that they stay. */
const LEAVING_SHARE = 0.3;
const MAX_STAY_MS = 600;

/** Time for which a run takes, so that some calls wait. */
const WORK_MS = 40;

const [firstSeed, lastSeed = firstSeed] = (process.env.SOAK_SEEDS ?? '1')
  .split('-')
  .map(Number);

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

interface Caller {
  readonly machine: ProcessMachine;
  readonly agent: Agent;
  /** Until then faults excuse what this VM does. */
  disturbedUntil: number;
  /** The proxy's process is about to end, or has ended. */
  down: boolean;
}

class ProcessSoak {
  readonly violations: string[] = [];
  readonly faults: string[] = [];
  readonly fleet = new FleetStandin((...args) => new ProcessMachine(...args));
  answered = 0;
  private callers: Caller[] = [];
  private version = 1;
  private storeDisturbedUntil = 0;
  private isOver = false;
  private readonly notRun = new Set<string>();
  private readonly leftAt = new Map<string, number>();
  private readonly pending: Array<Promise<void>> = [];

  constructor(private readonly chance: SeededRandom) {}

  async run(): Promise<void> {
    await this.fleet.start(MACHINES);
    for (const {upstream} of this.fleet.machines) {
      upstream.answer = () => sleep(WORK_MS).then(() => 200);
    }
    this.callers = this.fleet.machines.map(machine => ({
      machine,
      agent: new Agent({keepAlive: true, maxSockets: 4}),
      disturbedUntil: 0,
      down: false,
    }));
    await sleep(STABLE_MS);
    const loops = [this.publishOften(), this.disturbOften(), this.callOften()];
    await sleep(FAULTS_MS);
    this.isOver = true;
    await Promise.all(loops);
    await Promise.all(this.pending);
    await this.checkRecovery();
    this.checkRuns();
  }

  async stop(): Promise<void> {
    this.callers.forEach(({agent}) => agent.destroy());
    await this.fleet.stop();
  }

  private async publishOften(): Promise<void> {
    while (!this.isOver) {
      this.version += 1;
      this.fleet.store.put('op/config', createConfigDocument(this.version));
      this.pending.push(this.checkVersion(this.version));
      await sleep(VERSION_GAP_MS * (0.5 + this.chance.getFraction()));
    }
  }

  /** Checks that all proxies in touch have a version in time. */
  private async checkVersion(version: number): Promise<void> {
    await sleep(MAX_VERSION_DELAY_MS);
    const now = performance.now();
    const calm = this.callers.filter(
      caller =>
        !caller.down &&
        now - Math.max(caller.disturbedUntil, this.storeDisturbedUntil) >
          STABLE_MS,
    );
    for (const {machine, down} of calm) {
      const status = await this.fleet
        .readStatus(machine)
        .catch(() => undefined);
      if (status !== undefined && !down && status.version < version) {
        const {host} = machine;
        this.violations.push(
          `${host} has version ${status.version} long after ${version}`,
        );
      }
    }
  }

  private async disturbOften(): Promise<void> {
    while (!this.isOver) {
      await sleep(this.chance.getExponential(MEAN_FAULT_GAP_MS));
      const caller = this.callers[this.chance.getUint32() % MACHINES];
      const kinds = ['freeze', 'freeze', 'kill', 'stop', 'store'] as const;
      const kind = kinds[this.chance.getUint32() % kinds.length];
      const ms = 500 + this.chance.getFraction() * 1_500;
      this.faults.push(`${kind} ${caller.machine.host} ${Math.round(ms)}`);
      this.pending.push(this.disturb(kind, caller, ms));
    }
  }

  private async disturb(
    kind: 'freeze' | 'kill' | 'stop' | 'store',
    caller: Caller,
    ms: number,
  ): Promise<void> {
    const {machine} = caller;
    const {store} = this.fleet;
    if (kind === 'store') {
      store.mode = this.chance.getFraction() < 0.5 ? 'silent' : 'busy';
      await sleep(ms);
      store.mode = 'answers';
      this.storeDisturbedUntil = performance.now();
      return;
    }
    if (caller.down) {
      return;
    }
    caller.down = true;
    if (kind === 'freeze') {
      machine.setFrozen(true);
      await sleep(ms);
      machine.setFrozen(false);
    } else {
      await (kind === 'kill' ? machine.kill() : machine.terminate());
      await sleep(ms / 4);
      await machine.start();
      await waitForFleet(() => machine.isReady());
    }
    caller.down = false;
    caller.disturbedUntil = performance.now();
  }

  private async callOften(): Promise<void> {
    for (let n = 0; !this.isOver; n += 1) {
      const caller = this.callers[this.chance.getUint32() % MACHINES];
      const path = n % 2 === 0 ? `/read/${n}` : `/charge/${n}`;
      this.pending.push(this.call(caller, path).catch(() => undefined));
      await sleep(CALL_GAP_MS);
    }
  }

  /** Sends one request on a kept connection; rejects if that breaks. */
  private async call({machine, agent}: Caller, path: string): Promise<void> {
    const req = request({
      host: machine.host,
      port: machine.callersPort,
      method: path.startsWith('/charge') ? 'POST' : 'GET',
      path,
      agent,
      timeout: 4_000,
      headers: {
        host: 'shop.example',
        [HEADER_NAMES.requestId]: `r-${path}`,
        [HEADER_NAMES.timeoutMs]: '1500',
      },
    });
    req.on('timeout', () => req.destroy());
    if (this.chance.getFraction() < LEAVING_SHARE) {
      const leave = () => {
        if (!req.closed) {
          this.leftAt.set(path, performance.now());
          req.destroy();
        }
      };
      setTimeout(leave, this.chance.getFraction() * MAX_STAY_MS);
    }
    req.end();
    const [res] = (await once(req, 'response')) as [IncomingMessage];
    let body = '';
    for await (const chunk of res) {
      body += String(chunk);
    }
    const {statusCode = 0, headers} = res;
    // The proxy's own refusals repeat no identifier.
    const isUpstreams = headers['x-response-signature'] !== undefined;
    const answeredId = headers[HEADER_NAMES.requestId];
    const isForeign = answeredId !== `r-${path}`;
    if ((isUpstreams || answeredId !== undefined) && isForeign) {
      const seen = `${statusCode} ${JSON.stringify(headers)}`;
      this.violations.push(`${path} got the answer of another: ${seen}`);
    }
    if (statusCode === 200) {
      this.answered += 1;
      const signature = `signed-${body.split(' ')[0]}`;
      if (headers['x-response-signature'] !== signature) {
        this.violations.push(`${path} got a success that is not whole`);
      }
    }
    if (statusCode === 503 || statusCode === 429) {
      this.notRun.add(path);
    }
  }

  private async checkRecovery(): Promise<void> {
    for (const {machine} of this.callers) {
      await waitForFleet(() => machine.isReady());
      await waitForFleet(
        async () =>
          (await this.fleet.readStatus(machine)).version === this.version,
      );
    }
  }

  /** Checks, whatever happened to entry and owner, that no run started too late. */
  private checkStarts(): void {
    for (const {upstream} of this.fleet.machines) {
      upstream.receivedPaths.forEach((path, n) => {
        const leftAt = this.leftAt.get(path) ?? Infinity;
        const ms = Math.round(upstream.receivedAt[n] - leftAt);
        if (ms > MAX_START_AFTER_DEPARTURE_MS) {
          this.violations.push(
            `${path} started ${ms} ms after its caller left`,
          );
        }
      });
    }
  }

  private checkRuns(): void {
    const runs = new Map<string, number>();
    for (const {upstream} of this.fleet.machines) {
      for (const path of upstream.receivedPaths) {
        runs.set(path, (runs.get(path) ?? 0) + 1);
      }
    }
    this.checkStarts();
    for (const [path, count] of runs) {
      if (path.startsWith('/charge') && count > 1) {
        this.violations.push(`${path} ran ${count} times`);
      }
      if (path.startsWith('/charge') && this.notRun.has(path)) {
        this.violations.push(`${path} ran, but was answered as not run`);
      }
    }
  }
}

describe('process soak', () => {
  for (let seed = firstSeed; seed <= lastSeed; seed += 1) {
    it(`keeps versions, charges and answers right with seed ${seed}`, async () => {
      const soak = new ProcessSoak(new SeededRandom(seed));
      try {
        await soak.run();
        const {violations, faults, answered} = soak;
        expect(violations, `after ${faults.join('; ')}`).to.deep.equal([]);
        expect(answered).to.be.above(50);
      } finally {
        await soak.stop();
      }
    });
  }
});
