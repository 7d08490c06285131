/**
 * Structured JSON log on standard output. Writes are asynchronous and collect
 * the lines of a short time, so that logging never delays a request; when the
 * buffer is full, lines are dropped and counted. At the end of the process the
 * rest is written before it exits.
 */
import {ILogObj, Logger} from 'tslog';
import {LogFields, MeshLogPart} from '../core/mesh/mesh_types.js';
import {LEVELS, LogLevel} from '../proxy/log.js';
import {MeshSettingsFile} from '../model/mesh_settings.js';
import {LogOutput, createLogOutput} from './log_output.js';

/** Size of the buffer for unwritten text, in characters. */
const MAX_PENDING_CHARS = 262_144;

/**
 * Limit on `info` lines about requests: three times the call rate of a busy VM.
 * The `log_dropped` metric counts the lines above the limit.
 */
const MAX_LINES_PER_SECOND = 100;
const SECOND_MS = 1_000;

/**
 * Time for which lines are collected before they are written. With five calls a second
 * and 100 ms, each line was a write of its own.
 */
const WRITE_DELAY_MS = 400;

/** The same for warnings and errors, which may precede the end of the process. */
const URGENT_WRITE_DELAY_MS = 20;

/** Longest wait for a reader that does not take the log at the end of the process. */
const MAX_DRAIN_MS = 500;

/** Name of the level `info` in records. */
const INFO = 'INFO';

/** Parts that log every request; only these are rate-limited. */
const PER_REQUEST_PARTS: ReadonlySet<MeshLogPart> = new Set(['entry', 'owner']);

/** Message, part and further fields of one line, with its level. */
type LeveledRecord = LogFields & {readonly _meta: {readonly level: string}};

/** Writes log records with a bounded rate and a bounded buffer. */
export class BoundedLog {
  private readonly logger: Logger<ILogObj>;
  private pendingText = '';
  private writing = false;
  private writeTimer?: NodeJS.Timeout;
  /** The pending write is an urgent one. */
  private writesSoon = false;
  private dropped = 0;
  private linesThisSecond = 0;
  private secondStartedAt = 0;
  private readonly drainResolvers: Array<() => void> = [];

  constructor(
    private readonly name: string,
    level: MeshSettingsFile['logLevel'],
    private readonly onDropped: (count: number) => void,
    private readonly output: LogOutput = createLogOutput(),
  ) {
    this.logger = new Logger({
      type: 'hidden',
      minLevel: LEVELS[level],
      hideLogPositionForProduction: true,
      // Records have one form and no secrets, so the steps of tslog that copy,
      // mask and describe each of them are left out.
      overwrite: {
        mask: args => args,
        toLogObj: ([record]) => record as ILogObj,
        addMeta: (record, _id, level) => ({...record, _meta: {level}}) as never,
      },
    });
    this.logger.attachTransport(logObj => {
      const {_meta, ...record} = logObj as unknown as LeveledRecord;
      this.enqueue(_meta.level, record);
    });
  }

  /**
   * Writes one record, or drops it if the rate limit is exceeded.
   * @param part - The part of the proxy that logs.
   * @param level - The severity.
   * @param message - What happened.
   * @param fields - Additional fields, such as identifiers and the outcome.
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

  /** Counts a line against the rate limit; returns false above the limit. */
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

  private enqueue(level: string, record: LogFields): void {
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
    if (level !== INFO && !this.writesSoon) {
      clearTimeout(this.writeTimer);
      this.writeTimer = undefined;
      this.writesSoon = true;
    }
    const delayMs = this.writesSoon ? URGENT_WRITE_DELAY_MS : WRITE_DELAY_MS;
    this.writeTimer ??= setTimeout(() => this.flush(), delayMs).unref();
  }

  /** Writes what is pending before it returns; for the end of the process. */
  writePending(): void {
    const text = this.pendingText;
    this.pendingText = '';
    if (text === '') {
      return;
    }
    try {
      this.output.writeSync(text);
    } catch {
      // The log itself cannot report this, so only the counter does.
      this.onDropped(text.split('\n').length - 1);
    }
  }

  private flush(): void {
    clearTimeout(this.writeTimer);
    this.writeTimer = undefined;
    this.writesSoon = false;
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
    this.output.write(text, error => {
      this.writing = false;
      if (error) {
        // The log itself cannot report this, so only the counter does.
        this.onDropped(text.split('\n').length - 1);
      }
      this.flush();
    });
  }

  /**
   * Resolves when the buffer is empty and no write is in progress, or after
   * half a second if the reader of the log does not take it.
   */
  drain(): Promise<void> {
    return new Promise(resolve => {
      const timer = setTimeout(resolve, MAX_DRAIN_MS);
      this.drainResolvers.push(() => {
        clearTimeout(timer);
        resolve();
      });
      this.flush();
    });
  }
}
