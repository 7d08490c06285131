/** A proxy as a child process that can be killed and started again. */
import {writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import * as z from 'zod';
import {SubmissionOutcomeSchema} from '../../model/fold_state.js';
import {SettingsSchema} from '../../model/settings.js';
import {Child, ExitStatus} from './child.js';
import {ProxyPorts} from './fleet_plan.js';
import {fetchValidatedJson, fetchJson} from './http_client.js';
import {getDaemonPath} from './daemon_paths.js';
import {waitFor, waitUntil} from './wait_for.js';

const STATUS_OK = 200;

/** The part of a proxy's status that demo, tests and bench read. */
const ProxyStatusSchema = z.looseObject({
  id: z.string(),
  ready: z.boolean(),
  sequence: z.int(),
  version: z.int(),
  digest: z.string(),
  outcomes: z.array(SubmissionOutcomeSchema),
});

export type ProxyStatus = z.infer<typeof ProxyStatusSchema>;

export class ProxyProcess {
  private currentChild: Child | undefined;

  /**
   * @param settings - Its settings.
   * @param ports - The ports that they name.
   * @param dir - Folder for its settings file.
   */
  constructor(
    private readonly settings: z.input<typeof SettingsSchema>,
    readonly ports: ProxyPorts,
    private readonly dir: string,
  ) {}

  get id(): string {
    return this.settings.upstreamId;
  }

  get child(): Child {
    if (this.currentChild === undefined) {
      throw new Error(`The proxy of ${this.id} has not been started.`);
    }
    return this.currentChild;
  }

  get isStarted(): boolean {
    return this.currentChild !== undefined;
  }

  /** Starts the process, also again after it has ended. */
  async start(): Promise<void> {
    const file = join(this.dir, `${this.id}.json`);
    await writeFile(file, JSON.stringify(this.settings));
    const args = ['--settings', file];
    const script = getDaemonPath('fireflysill_proxy');
    this.currentChild = new Child(`proxy of ${this.id}`, script, args);
  }

  /** Waits until it serves callers. */
  async waitUntilReady(): Promise<void> {
    await waitUntil(`${this.child.name} to be ready`, async () => {
      const {exit, name, errorOutput: errors} = this.child;
      if (exit !== undefined) {
        throw new Error(`${name} ended: ${JSON.stringify(exit)} ${errors}`);
      }
      return this.isReady();
    });
  }

  /** @returns True while it serves callers. */
  async isReady(): Promise<boolean> {
    try {
      const answer = await fetchJson(this.ports.operators, '/readyz');
      return answer.status === STATUS_OK;
    } catch {
      return false;
    }
  }

  /** @returns Its status. Rejects where it can't be reached. */
  getStatus(): Promise<ProxyStatus> {
    const {operators} = this.ports;
    return fetchValidatedJson(operators, '/v1/status', ProxyStatusSchema);
  }

  /** @returns Its metrics as text. */
  async getMetrics(): Promise<string> {
    const {body} = await fetchJson(this.ports.operators, '/metrics');
    return String(body);
  }

  /**
   * Waits until it holds a sequence.
   * @param sequence - The sequence.
   * @returns Its status then.
   */
  waitForSequence(sequence: number): Promise<ProxyStatus> {
    return waitFor(`${this.id} to hold sequence ${sequence}`, async () => {
      const status = await this.getStatus().catch(() => undefined);
      const holds = status !== undefined && status.sequence >= sequence;
      return holds ? status : undefined;
    });
  }

  /** Kills it, as a VM failure does. */
  async kill(): Promise<ExitStatus> {
    return this.child.kill();
  }

  /** Starts a planned stop and waits for its end. */
  async drain(): Promise<ExitStatus> {
    await fetchJson(this.ports.operators, '/v1/drain', {});
    return this.child.waitForExit();
  }
}
