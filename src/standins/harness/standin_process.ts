/** The stand-ins as child processes. */
import * as z from 'zod';
import {Submission} from '../../model/config.js';
import {Vm} from '../../model/platform.js';
import {
  JournalEntry,
  JournalEntrySchema,
  JournalLineSchema,
} from '../upstream/journal.js';
import {Child, ExitStatus} from './child.js';
import {fetchValidatedJson} from './http_client.js';
import {getDaemonPath} from './daemon_paths.js';
import {waitFor} from './wait_for.js';

const ReadyLineSchema = z.object({
  ready: z.object({port: z.int(), sidePort: z.int()}),
});

const PublishResponseSchema = z.object({sequence: z.int()});

const JournalResponseSchema = z.object({entries: z.array(JournalEntrySchema)});

export type StandinPorts = z.infer<typeof ReadyLineSchema>['ready'];

/** Faults of the platform; absent fields remain unchanged. */
export interface PlatformFault {
  readonly down?: boolean;
  readonly staleAtSequence?: number | null;
  readonly latencyMs?: number;
}

/** One run of a stand-in daemon, from its start to its exit. */
class StandinRun {
  readonly child: Child;
  private ports: StandinPorts | undefined;

  constructor(
    name: string,
    daemon: string,
    args: readonly string[],
    onMessage: (value: unknown) => void = () => {},
  ) {
    this.child = new Child(name, getDaemonPath(daemon), args, line => {
      const value: unknown = JSON.parse(line);
      const ready = ReadyLineSchema.safeParse(value);
      if (ready.success) {
        this.ports = ready.data.ready;
      } else {
        onMessage(value);
      }
    });
  }

  waitUntilReady(): Promise<StandinPorts> {
    return waitFor(`${this.child.name} to listen`, () => {
      if (this.child.exit !== undefined) {
        throw new Error(
          `${this.child.name} exited before it listened: ${this.child.errorOutput}`,
        );
      }
      return this.ports;
    });
  }
}

/** Process of the platform stand-in. */
export class PlatformProcess {
  private constructor(
    readonly child: Child,
    readonly ports: StandinPorts,
  ) {}

  /**
   * Starts the process and waits until it listens.
   * @param args - Arguments of the daemon.
   * @returns The process.
   */
  static async start(args: readonly string[] = []): Promise<PlatformProcess> {
    const run = new StandinRun(
      'platform',
      'fireflysill_standin_platform',
      args,
    );
    return new PlatformProcess(run.child, await run.waitUntilReady());
  }

  /**
   * Publishes a submission.
   * @param submission - The submission of an operator.
   * @returns Sequence number of the submission.
   */
  async publish(
    submission: Pick<Submission, 'id' | 'base' | 'patch'>,
  ): Promise<number> {
    const path = '/side/submissions';
    const published = await this.postControl(
      path,
      PublishResponseSchema,
      submission,
    );
    return published.sequence;
  }

  /**
   * Replaces the VM list.
   * @param vms - The new list.
   */
  async setVms(vms: readonly Vm[]): Promise<void> {
    await this.postControl('/side/vms', z.unknown(), {vms});
  }

  /**
   * Sets or clears faults.
   * @param fault - The faults to change.
   */
  async setFault(fault: PlatformFault): Promise<void> {
    await this.postControl('/side/fault', z.unknown(), fault);
  }

  private postControl<T>(path: string, schema: z.ZodType<T>, body: unknown) {
    return fetchValidatedJson(this.ports.sidePort, path, schema, body);
  }
}

/** Process of an upstream stand-in that can be restarted. */
export class UpstreamProcess {
  private readonly entries = new Map<string, JournalEntry>();
  private runCount = 0;
  private run: StandinRun;
  private currentPorts: StandinPorts | undefined;

  private constructor(
    readonly id: string,
    private readonly args: readonly string[],
  ) {
    this.run = this.startRun();
  }

  /**
   * Starts the process and waits until it listens.
   * @param id - Name of the upstream.
   * @param args - Additional arguments of the daemon.
   * @returns The process.
   */
  static async start(
    id: string,
    args: readonly string[] = [],
  ): Promise<UpstreamProcess> {
    const upstream = new UpstreamProcess(id, args);
    upstream.currentPorts = await upstream.run.waitUntilReady();
    return upstream;
  }

  get child(): Child {
    return this.run.child;
  }

  get ports(): StandinPorts {
    if (this.currentPorts === undefined) {
      throw new Error(
        `${this.id} does not listen yet; wait for start() first.`,
      );
    }
    return this.currentPorts;
  }

  /** Starts a new process on the same port after the previous one has ended. */
  async restart(): Promise<void> {
    this.run = this.startRun(['--port', String(this.ports.port)]);
    this.currentPorts = await this.run.waitUntilReady();
  }

  /**
   * Sends SIGTERM, on which the process finishes its running requests and
   * exits.
   */
  drain(): Promise<ExitStatus> {
    return this.child.stop();
  }

  /** @returns Journal entries of all its processes so far, oldest first. */
  getJournal(): readonly JournalEntry[] {
    return [...this.entries.values()];
  }

  /**
   * Reads the journal from a running process, because printed entries may still
   * be in the pipe.
   */
  async refreshJournal(): Promise<void> {
    const {run, runCount: runNumber} = this;
    if (run.child.exit !== undefined) {
      return;
    }
    const path = '/side/journal';
    try {
      const {sidePort} = await run.waitUntilReady();
      const {entries} = await fetchValidatedJson(
        sidePort,
        path,
        JournalResponseSchema,
      );
      entries.forEach(entry => this.recordEntry(entry, runNumber));
    } catch {
      // The process has crashed. When it counts as ended, its output has been
      // read completely.
      await run.child.waitForExit();
    }
  }

  private recordEntry(entry: JournalEntry, runNumber: number): void {
    this.entries.set(`${runNumber}:${entry.entry}`, entry);
  }

  private startRun(portArgs: readonly string[] = []): StandinRun {
    this.runCount += 1;
    const runNumber = this.runCount;
    const args = ['--id', this.id, ...this.args, ...portArgs];
    return new StandinRun(
      this.id,
      'fireflysill_standin_upstream',
      args,
      value =>
        this.recordEntry(JournalLineSchema.parse(value).journal, runNumber),
    );
  }
}
