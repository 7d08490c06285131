/** The platform stand-in of a bench run, as a child process. */
import {request} from 'undici';
import {Patch} from '../model/config.js';
import {Child, Children} from './children.js';

const SCRIPT = '../bin/fireflysill_standin_platform.js';

interface PlatformStats {
  readonly calls: {
    readonly watch: number;
    readonly submissions: number;
    readonly vms: number;
    readonly refused: number;
  };
}

export class Platform {
  private constructor(
    private readonly children: Children,
    private readonly child: Child,
    /** Where proxies read. */
    readonly address: string,
    private readonly sideAddress: string,
  ) {}

  /**
   * Starts a platform.
   * @param children - Keeps the process.
   * @returns The platform, listening.
   */
  static async start(children: Children): Promise<Platform> {
    const child = await children.start(SCRIPT, []);
    const {ready} = JSON.parse(child.firstLine) as {
      ready: {port: number; sidePort: number};
    };
    return new Platform(
      children,
      child,
      `127.0.0.1:${ready.port}`,
      `127.0.0.1:${ready.sidePort}`,
    );
  }

  /**
   * Publishes a submission.
   * @param id - Its identifier.
   * @param base - Version that it builds on.
   * @param patch - The patch.
   * @returns Its sequence number.
   */
  async publish(id: string, base: number, patch: Patch): Promise<number> {
    const answer = await request(
      `http://${this.sideAddress}/side/submissions`,
      {
        method: 'POST',
        body: JSON.stringify({id, base, patch}),
      },
    );
    const body = (await answer.body.json()) as {sequence: number};
    if (answer.statusCode !== 200) {
      throw new Error(`Publishing ${id} failed: ${JSON.stringify(body)}`);
    }
    return body.sequence;
  }

  /** @returns Calls of all readers so far, refused ones included. */
  async countCalls(): Promise<number> {
    const answer = await request(`http://${this.sideAddress}/side/stats`);
    const {calls} = (await answer.body.json()) as PlatformStats;
    return calls.watch + calls.submissions + calls.vms + calls.refused;
  }

  /** Ends the process. */
  async stop(): Promise<void> {
    await this.children.stop(this.child);
  }
}
