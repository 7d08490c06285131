/** A proxy as a child process that can be killed and restarted. */
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

/** Fields of `/v1/status` that the demo, the tests and the benchmark read. */
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
   * @param settings - Settings of the proxy.
   * @param ports - Ports in these settings.
   * @param dir - Directory of the settings file.
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
      throw new Error(
        `The proxy of ${this.id} is not started; call start() first.`,
      );
    }
    return this.currentChild;
  }

  get isStarted(): boolean {
    return this.currentChild !== undefined;
  }

  /**
   * Writes the settings file and starts the process. Can be called again after
   * the process has ended.
   */
  async start(): Promise<void> {
    const file = join(this.dir, `${this.id}.json`);
    await writeFile(file, JSON.stringify(this.settings));
    const args = ['--settings', file];
    const script = getDaemonPath('fireflysill_proxy');
    this.currentChild = new Child(`proxy of ${this.id}`, script, args);
  }

  /** Waits until the proxy is ready. Rejects if its process ends before. */
  async waitUntilReady(): Promise<void> {
    await waitUntil(`${this.child.name} to be ready`, async () => {
      const {exit, name, errorOutput} = this.child;
      if (exit !== undefined) {
        throw new Error(
          `${name} exited before it was ready: ${JSON.stringify(exit)} ${errorOutput}`,
        );
      }
      return this.isReady();
    });
  }

  /** @returns True if the proxy accepts calls. */
  async isReady(): Promise<boolean> {
    try {
      const response = await fetchJson(this.ports.operators, '/readyz');
      return response.status === STATUS_OK;
    } catch {
      return false;
    }
  }

  /** @returns The status. Rejects if the proxy cannot be reached. */
  getStatus(): Promise<ProxyStatus> {
    const {operators} = this.ports;
    return fetchValidatedJson(operators, '/v1/status', ProxyStatusSchema);
  }

  /** @returns The metrics, in the text format of Prometheus. */
  async getMetrics(): Promise<string> {
    const {body} = await fetchJson(this.ports.operators, '/metrics');
    return String(body);
  }

  /**
   * Waits until the proxy has applied the submission with a sequence number.
   * @param sequence - The sequence number.
   * @returns The status at that time.
   */
  waitForSequence(sequence: number): Promise<ProxyStatus> {
    return waitFor(`${this.id} to reach sequence ${sequence}`, async () => {
      const status = await this.getStatus().catch(() => undefined);
      const hasReached = status !== undefined && status.sequence >= sequence;
      return hasReached ? status : undefined;
    });
  }

  /** Kills the process, to simulate the failure of its VM. */
  async kill(): Promise<ExitStatus> {
    return this.child.kill();
  }

  /** Drains the proxy and waits until its process has exited. */
  async drain(): Promise<ExitStatus> {
    await fetchJson(this.ports.operators, '/v1/drain', {});
    return this.child.waitForExit();
  }
}
