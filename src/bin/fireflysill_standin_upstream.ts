#!/usr/bin/env node
/** Daemon of the upstream stand-in. */
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
  .option('--side-port <port>', 'port of the side door; 0 picks a free one')
  .option('--slots <count>', 'requests that run at the same time')
  .option('--connections <count>', 'connections that are kept')
  .option('--work-ms <ms>', 'how long work takes where a request is silent')
  .option('--cold-start-ms <ms>', 'time after the start of slower work')
  .option('--cold-start-factor <count>', 'how many times slower it is')
  .option('--health-lag-ms <ms>', 'age of the health that is told')
  .option('--journal-entries <count>', 'journal entries that are kept')
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
      logger.warn(`${options.id} crashes on a marked request.`);
      process.exit(CRASH_EXIT_CODE);
    },
  });
  const ready = await standin.start();
  printLine({ready} satisfies ReadyLine);
  process.once('SIGTERM', () => void standin.drain());
});
