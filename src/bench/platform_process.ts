/** Runs the platform stand-in of a bench run as a child process. */
import {request} from 'undici';
import {Patch} from '../model/config.js';
import {Child, ChildProcesses} from './child_processes.js';

const PLATFORM_SCRIPT = '../bin/fireflysill_standin_platform.js';

/** The part of the stand-in's statistics that the bench reads. */
interface PlatformStats {
  readonly calls: {
    readonly watch: number;
    readonly submissions: number;
    readonly vms: number;
    readonly refused: number;
  };
}

/** A running platform stand-in. */
export class PlatformProcess {
  private constructor(
    private readonly children: ChildProcesses,
    private readonly child: Child,
    /** Address from which the proxies read. */
    readonly address: string,
    /** Address for publishing and for statistics. */
    private readonly sideAddress: string,
  ) {}

  /**
   * Starts a platform.
   * @param children - Owns the process.
   * @returns The platform, which listens already.
   */
  static async start(children: ChildProcesses): Promise<PlatformProcess> {
    const child = await children.startAndAwaitOutput(PLATFORM_SCRIPT, []);
    const {ready} = JSON.parse(child.firstLine) as {
      ready: {port: number; sidePort: number};
    };
    return new PlatformProcess(
      children,
      child,
      `127.0.0.1:${ready.port}`,
      `127.0.0.1:${ready.sidePort}`,
    );
  }

  /**
   * Publishes a submission.
   * @param id - Its identifier.
   * @param base - Version on which the patch is based.
   * @param patch - The patch.
   * @returns Its sequence number.
   */
  async publish(id: string, base: number, patch: Patch): Promise<number> {
    const response = await request(
      `http://${this.sideAddress}/side/submissions`,
      {
        method: 'POST',
        body: JSON.stringify({id, base, patch}),
      },
    );
    const body = (await response.body.json()) as {sequence: number};
    if (response.statusCode !== 200) {
      throw new Error(
        `The platform refused submission ${id} with status ${response.statusCode}: ${JSON.stringify(body)}`,
      );
    }
    return body.sequence;
  }

  /**
   * @returns Number of calls from all readers so far, including refused ones.
   */
  async countCalls(): Promise<number> {
    const response = await request(`http://${this.sideAddress}/side/stats`);
    const {calls} = (await response.body.json()) as PlatformStats;
    return calls.watch + calls.submissions + calls.vms + calls.refused;
  }

  /** Stops the process. */
  async stop(): Promise<void> {
    await this.children.stop(this.child);
  }
}
