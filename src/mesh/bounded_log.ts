/**
 * Structured logs on standard output that never hold a request up: lines are
 * written in the background, and dropped and counted where too many wait.
 */
import {write} from 'node:fs';
import {ILogObj, Logger} from 'tslog';
import {LogFields, MeshLogPart} from '../core/mesh/mesh_types.js';
import {LEVELS, LogLevel} from '../proxy/log.js';
import {MeshSettingsFile} from '../model/mesh_settings.js';

const STDOUT_FD = 1;

/** Text that may wait to be written, in characters. */
const MAX_WAITING_CHARS = 262_144;

/**
 * Lines about requests that are written in one second: three times the calls
 * of a busy VM. The counters tell how many more there were.
 */
const MAX_LINES_PER_SECOND = 100;
const SECOND_MS = 1_000;

/** Parts that write a line for each request; the others write seldom. */
const PER_REQUEST: ReadonlySet<MeshLogPart> = new Set(['entry', 'owner']);

/** One record: a message, the part that wrote it, and its fields. */
type Line = LogFields;

export class BoundedLog {
  private readonly logger: Logger<ILogObj>;
  private waiting = '';
  private writing = false;
  private dropped = 0;
  private linesThisSecond = 0;
  private secondAt = 0;
  private readonly drains: Array<() => void> = [];

  constructor(
    private readonly name: string,
    level: MeshSettingsFile['logLevel'],
    private readonly onDropped: (count: number) => void,
  ) {
    this.logger = new Logger({
      type: 'hidden',
      minLevel: LEVELS[level],
      hideLogPositionForProduction: true,
    });
    this.logger.attachTransport(logObj => {
      // The library spreads a single object into its record.
      const {_meta, ...line} = logObj as unknown as Line & {
        readonly _meta: {readonly logLevelName: string};
      };
      this.enqueue(_meta.logLevelName, line);
    });
  }

  /**
   * Writes one line.
   * @param part - Which part of the proxy decided.
   * @param level - How urgent it is.
   * @param message - What happened.
   * @param fields - The identifiers, inputs and outcome.
   */
  write(
    part: MeshLogPart,
    level: LogLevel,
    message: string,
    fields: LogFields = {},
  ): void {
    if (level === 'info' && PER_REQUEST.has(part) && !this.hasRoom()) {
      this.drop();
      return;
    }
    this.logger[level]({message, part, ...fields});
  }

  private hasRoom(): boolean {
    const now = performance.now();
    if (now - this.secondAt >= SECOND_MS) {
      this.secondAt = now;
      this.linesThisSecond = 0;
    }
    this.linesThisSecond += 1;
    return this.linesThisSecond <= MAX_LINES_PER_SECOND;
  }

  private drop(): void {
    this.dropped += 1;
    this.onDropped(1);
  }

  private enqueue(level: string, line: Line): void {
    if (this.waiting.length > MAX_WAITING_CHARS) {
      this.drop();
      return;
    }
    const {name} = this;
    const dropped = this.dropped > 0 ? this.dropped : undefined;
    this.dropped = 0;
    const time = new Date().toISOString();
    const text = JSON.stringify({time, level, name, ...line, dropped});
    this.waiting += `${text}\n`;
    this.flush();
  }

  private flush(): void {
    if (this.writing) {
      return;
    }
    if (this.waiting === '') {
      this.drains.splice(0).forEach(resolve => resolve());
      return;
    }
    this.writing = true;
    const text = this.waiting;
    this.waiting = '';
    write(STDOUT_FD, text, error => {
      this.writing = false;
      if (error !== null) {
        // Nowhere is left to report it; the counter shows the loss.
        this.onDropped(text.split('\n').length - 1);
      }
      this.flush();
    });
  }

  /** Resolves when all lines have been written. */
  drain(): Promise<void> {
    return new Promise(resolve => {
      this.drains.push(resolve);
      this.flush();
    });
  }
}
