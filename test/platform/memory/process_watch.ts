/** What the operating system tells of a process. */
import {readFileSync, readdirSync} from 'node:fs';
import {setTimeout as delay} from 'node:timers/promises';

const SAMPLE_MS = 20;

/** Processor time by which a process counts as busy in an interval. */
const BUSY_INTERVAL_MS = 200;
const MAX_IDLE_TICKS = 3;

/** Watches the memory and the descriptors of a process until it is stopped. */
export class ProcessWatch {
  /** Highest resident memory, in KiB. */
  peakKib = 0;
  /** Highest number of descriptors. */
  peakDescriptors = 0;
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly pid: number) {
    this.timer = setInterval(() => this.sample(), SAMPLE_MS);
  }

  /** Reads a file of the process; undefined once it has ended. */
  private read(name: string): string | undefined {
    try {
      return readFileSync(`/proc/${this.pid}/${name}`, 'utf8');
    } catch {
      return undefined;
    }
  }

  private sample(): void {
    const status = this.read('status') ?? '';
    const resident = /^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1];
    this.peakKib = Math.max(this.peakKib, Number(resident ?? 0));
    this.peakDescriptors = Math.max(
      this.peakDescriptors,
      this.countDescriptors(),
    );
  }

  private countDescriptors(): number {
    try {
      return readdirSync(`/proc/${this.pid}/fd`).length;
    } catch {
      return 0;
    }
  }

  /** Processor time in clock ticks of 10 ms; undefined once it has ended. */
  private readTicks(): number | undefined {
    const fields = this.read('stat')?.split(') ').at(-1)?.split(' ');
    return fields && Number(fields[11]) + Number(fields[12]);
  }

  /** Reports whether the process works little, or no more, for a while. */
  async isIdle(): Promise<boolean> {
    const before = this.readTicks();
    await delay(BUSY_INTERVAL_MS);
    const after = this.readTicks();
    return (
      before === undefined ||
      after === undefined ||
      after - before <= MAX_IDLE_TICKS
    );
  }

  stop(): void {
    this.sample();
    clearInterval(this.timer);
  }
}
