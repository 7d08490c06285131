#!/usr/bin/env node
/** Entry point of the platform stand-in, which runs as a daemon. */
import {Command} from 'commander';
import {printLine, ReadyLine, runDaemon} from '../standins/daemon.js';
import {PlatformOptions} from '../standins/platform/options.js';
import {PlatformStandin} from '../standins/platform/platform_standin.js';

const command = new Command('fireflysill-standin-platform')
  .description('Stand-in for the platform that publishes the configuration')
  .option('--port <port>', 'port for API calls; 0 picks a free one')
  .option('--side-port <port>', 'port of the control API; 0 picks a free one')
  .option('--calls-per-second <count>', 'calls above this rate are refused')
  .option('--latency-ms <ms>', 'delay of each answer')
  .option('--vm-lag-ms <ms>', 'delay until a new VM list is visible');

runDaemon('platform', async () => {
  const options = command.parse().opts<Partial<PlatformOptions>>();
  const standin = new PlatformStandin(options);
  const ready = await standin.start();
  printLine({ready} satisfies ReadyLine);
  process.once('SIGTERM', () => void standin.stop());
});
