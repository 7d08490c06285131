/** Writes structured logs, with a fixed prefix for each part of the proxy. */
import {ILogObj, Logger} from 'tslog';
import {PartName} from '../core/types.js';
import {Settings} from '../model/settings.js';

/** Numeric value of each log level in tslog. */
export const LEVELS: Readonly<Record<Settings['logLevel'], number>> = {
  silly: 0,
  trace: 1,
  debug: 2,
  info: 3,
  warn: 4,
  error: 5,
  fatal: 6,
};

export type LogLevel = 'info' | 'warn' | 'error';

/** One logger for each part of the proxy. */
export class PartLogs {
  private readonly rootLogger: Logger<ILogObj>;
  private readonly loggersByPart = new Map<string, Logger<ILogObj>>();

  constructor(name: string, level: Settings['logLevel']) {
    this.rootLogger = new Logger({
      name,
      type: 'json',
      minLevel: LEVELS[level],
      hideLogPositionForProduction: true,
    });
  }

  write(part: PartName | 'daemon', level: LogLevel, message: string): void {
    let logger = this.loggersByPart.get(part);
    if (logger === undefined) {
      logger = this.rootLogger.getSubLogger({prefix: [`[${part}]`]});
      this.loggersByPart.set(part, logger);
    }
    logger[level](message);
  }
}
