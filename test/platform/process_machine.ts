/** A machine whose proxy is a process of the bundle that is deployed. */
import {mkdtemp, readFile, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {Child, ExitStatus} from '../../src/standins/harness/child.js';
import {Machine} from './fleet_standin.js';

const BUNDLE = 'target/fireflysill_platform.cjs';
const TEMPLATE = 'deploy/settings.json.template';

/** Fills the template's `{{path}}` and `{{path|json}}` as the platform does. */
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

export class ProcessMachine extends Machine {
  private child?: Child;
  private dir?: string;

  override async start(): Promise<void> {
    await this.startUpstream();
    const settings = await this.writeSettings();
    this.child = new Child(`proxy at ${this.host}`, BUNDLE, [], undefined, {
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

  /** What the platform knows of the machine, in its own names. */
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
      heartbeat: '870ms',
      bounds: {
        grace: '6s',
        'retry-budget': 0.2,
        'budget-window': '10s',
        'budget-extra': 60,
      },
    };
  }

  /** @returns Process id of the proxy; undefined while there is none. */
  get pid(): number | undefined {
    return this.child?.pid;
  }

  /** A process that has just been started refuses connections at first. */
  override async isReady(): Promise<boolean> {
    return super.isReady().catch(() => false);
  }

  /** Ends the proxy without warning. */
  async kill(): Promise<ExitStatus | undefined> {
    return this.child?.kill();
  }

  /** Ends the proxy in the planned way. */
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
