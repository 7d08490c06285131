#!/usr/bin/env node
/** Entry point of the upstream stand-in, which runs as a daemon. */
import {Command} from 'commander';
import {
  createStderrLogger,
  printLine,
  ReadyLine,
  runDaemon,
} from '../standins/daemon.js';
import {JournalEntry} from '../standins/upstream/journal.js';
import {UpstreamOptions} from '../standins/upstream/options.js';
import {UpstreamStandin} from '../standins/upstream/upstream_standin.js';

const CRASH_EXIT_CODE = 70;

const command = new Command('fireflysill-standin-upstream')
  .description('Stand-in for an upstream that runs requests')
  .requiredOption('--id <id>', 'name of the upstream')
  .option('--port <port>', 'port for requests; 0 picks a free one')
  .option('--side-port <port>', 'port of the control API; 0 picks a free one')
  .option('--slots <count>', 'requests that run at the same time')
  .option('--connections <count>', 'maximum number of open connections')
  .option('--work-ms <ms>', 'default duration of the work of a request')
  .option(
    '--cold-start-ms <ms>',
    'time after the start in which work is slower',
  )
  .option(
    '--cold-start-factor <count>',
    'factor by which work is slower during that time',
  )
  .option('--health-lag-ms <ms>', 'age of the state that health answers report')
  .option(
    '--journal-entries <count>',
    'number of entries that the journal keeps',
  )
  .option('--quiet', 'print no journal lines');

interface CommandOptions extends UpstreamOptions {
  readonly quiet?: boolean;
}

function printEntry(journal: JournalEntry): void {
  printLine({journal});
}

runDaemon('upstream', async () => {
  const {quiet, ...options} = command.parse().opts<CommandOptions>();
  const logger = createStderrLogger('upstream');
  const standin = new UpstreamStandin(options, {
    now: () => Date.now(),
    onJournal: quiet ? () => {} : printEntry,
    crash: () => {
      logger.warn(
        `${options.id} exits because a request asked for a crash; restart it.`,
      );
      process.exit(CRASH_EXIT_CODE);
    },
  });
  const ready = await standin.start();
  printLine({ready} satisfies ReadyLine);
  process.once('SIGTERM', () => void standin.drain());
});
