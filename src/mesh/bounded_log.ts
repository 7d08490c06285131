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
const MAX_PENDING_CHARS = 262_144;

/**
 * Lines about requests that are written in one second: three times the calls
 * of a busy VM. The counters tell how many more there were.
 */
const MAX_LINES_PER_SECOND = 100;
const SECOND_MS = 1_000;

/** Parts that write a line for each request; the others write seldom. */
const PER_REQUEST_PARTS: ReadonlySet<MeshLogPart> = new Set(['entry', 'owner']);

/** One record: a message, the part that wrote it, and its fields. */
type LogRecord = LogFields;

export class BoundedLog {
  private readonly logger: Logger<ILogObj>;
  private pendingText = '';
  private writing = false;
  private dropped = 0;
  private linesThisSecond = 0;
  private secondStartedAt = 0;
  private readonly drainResolvers: Array<() => void> = [];

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
      const {_meta, ...record} = logObj as unknown as LogRecord & {
        readonly _meta: {readonly logLevelName: string};
      };
      this.enqueue(_meta.logLevelName, record);
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
    if (level === 'info' && PER_REQUEST_PARTS.has(part) && !this.allowLine()) {
      this.countDropped();
      return;
    }
    this.logger[level]({message, part, ...fields});
  }

  private allowLine(): boolean {
    const now = performance.now();
    if (now - this.secondStartedAt >= SECOND_MS) {
      this.secondStartedAt = now;
      this.linesThisSecond = 0;
    }
    this.linesThisSecond += 1;
    return this.linesThisSecond <= MAX_LINES_PER_SECOND;
  }

  private countDropped(): void {
    this.dropped += 1;
    this.onDropped(1);
  }

  private enqueue(level: string, record: LogRecord): void {
    if (this.pendingText.length > MAX_PENDING_CHARS) {
      this.countDropped();
      return;
    }
    const {name} = this;
    const dropped = this.dropped > 0 ? this.dropped : undefined;
    this.dropped = 0;
    const time = new Date().toISOString();
    const text = JSON.stringify({time, level, name, ...record, dropped});
    this.pendingText += `${text}\n`;
    this.flush();
  }

  private flush(): void {
    if (this.writing) {
      return;
    }
    if (this.pendingText === '') {
      this.drainResolvers.splice(0).forEach(resolve => resolve());
      return;
    }
    this.writing = true;
    const text = this.pendingText;
    this.pendingText = '';
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
      this.drainResolvers.push(resolve);
      this.flush();
    });
  }
}
