/** A machine whose proxy runs the deployed bundle in a process of its own. */
import {mkdtemp, readFile, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {Child, ExitStatus} from '../../src/standins/harness/child.js';
import {Machine} from './fleet_standin.js';

export const BUNDLE = 'target/fireflysill_platform.cjs';
const DEPLOY_FILE = 'deploy/system.toml';
const TEMPLATE = 'deploy/settings.json.template';

/** Replaces `{{path}}` and `{{path|json}}` in a template, like the platform. */
export function renderTemplate(template: string, values: object): string {
  return template.replace(
    /\{\{([^}|]+)(\|json)?\}\}/g,
    (_, path: string, json: string | undefined) => {
      const value = path
        .split('.')
        .reduce<unknown>(
          (at, key) => (at as Record<string, unknown>)[key],
          values,
        );
      return json === undefined ? String(value) : JSON.stringify(value);
    },
  );
}

/** Reads the arguments with which the deploy file starts Node. */
async function readNodeArguments(): Promise<string[]> {
  const run = /^run = "node ([^"]+)"$/m.exec(
    await readFile(DEPLOY_FILE, 'utf8'),
  );
  if (run === null) {
    throw new Error(`${DEPLOY_FILE} has no run line that starts node.`);
  }
  return run[1].split(' ');
}

/** Runs the proxy as a child process with settings from the template. */
export class ProcessMachine extends Machine {
  private child?: Child;
  private dir?: string;

  override async start(): Promise<void> {
    const settings = await this.prepare();
    const [first, ...others] = await readNodeArguments();
    this.child = new Child(`proxy at ${this.host}`, first, others, undefined, {
      FIREFLYSILL_SETTINGS: settings,
    });
  }

  private async writeSettings(): Promise<string> {
    this.dir ??= await mkdtemp(join(tmpdir(), 'fireflysill-'));
    const file = join(this.dir, 'settings.json');
    const template = await readFile(TEMPLATE, 'utf8');
    await writeFile(file, renderTemplate(template, this.getTemplateValues()));
    return file;
  }

  /** Writes settings, but starts no process. Returns the path of the file. */
  async prepare(): Promise<string> {
    await this.startUpstream();
    return this.writeSettings();
  }

  /** Returns the template values that the platform provides for a VM. */
  private getTemplateValues(): object {
    const {callers, peers} = this.ports;
    return {
      'node-name': this.host,
      region: 'west',
      zone: 'north',
      service: 'desk',
      listen: {
        outbound: `${this.host}:${callers}`,
        ready: `${this.host}:${callers + 1}`,
      },
      ip: this.host,
      'internal-ports': [peers, callers + 2],
      'app-addr': this.upstreamAddress,
      platform: {address: this.storeAddress},
      limits: {'link-mbps': 1000},
      heartbeat: '870ms',
      contracts: ['base', 'retry', 'platform'],
      bounds: {
        grace: '6s',
        'retry-budget': 0.2,
        'budget-window': '10s',
        'budget-extra': 60,
      },
    };
  }

  /** Process id of the proxy; undefined before the first start. */
  get pid(): number | undefined {
    return this.child?.pid;
  }

  /** How the process ended; undefined while it runs. */
  get exit(): ExitStatus | undefined {
    return this.child?.exit;
  }

  /** Why the proxy has ended, or what it has reported so far. */
  get errorOutput(): string {
    return `${JSON.stringify(this.exit)} ${this.child?.errorOutput}`;
  }

  /** Reads the largest resident memory that the proxy has had, in MiB. */
  async readPeakMemory(): Promise<number> {
    const status = await readFile(`/proc/${this.pid}/status`, 'utf8');
    return Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1]) / 1_024;
  }

  /** Returns false also while a new process does not accept connections yet. */
  override async isReady(): Promise<boolean> {
    return super.isReady().catch(() => false);
  }

  /** Lets the proxy stand still, or go on. */
  setFrozen(frozen: boolean): void {
    if (this.pid !== undefined) {
      process.kill(this.pid, frozen ? 'SIGSTOP' : 'SIGCONT');
    }
  }

  /** Sends a signal to the proxy. */
  signal(signal: NodeJS.Signals): void {
    this.child?.signal(signal);
  }

  /** Kills the proxy with SIGKILL. */
  async kill(): Promise<ExitStatus | undefined> {
    return this.child?.kill();
  }

  /** Stops the proxy with SIGTERM and waits for its exit. */
  async terminate(): Promise<ExitStatus | undefined> {
    return this.child?.stop();
  }

  override async stopProxy(): Promise<void> {
    await this.kill();
    if (this.dir !== undefined) {
      await rm(this.dir, {recursive: true, force: true});
      this.dir = undefined;
    }
  }
}
