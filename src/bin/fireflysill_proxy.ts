#!/usr/bin/env node
/** Entry point of the proxy daemon, which runs on each upstream VM. */
import {Command} from 'commander';
import {describeSettingsError, loadSettings} from '../proxy/load_settings.js';
import {PartLogs} from '../proxy/log.js';
import {ProxyRuntime} from '../proxy/proxy_runtime.js';

const INVALID_SETTINGS_EXIT_CODE = 2;

interface Options {
  readonly settings: string;
  readonly check?: boolean;
}

async function run(options: Options): Promise<void> {
  const settings = loadSettings(options.settings);
  if (settings.isErr()) {
    for (const error of settings.error) {
      console.error(`fireflysill-proxy: ${describeSettingsError(error)}`);
    }
    process.exitCode = INVALID_SETTINGS_EXIT_CODE;
    return;
  }
  if (options.check === true) {
    console.log('fireflysill-proxy: settings are valid');
    return;
  }
  const {upstreamId, logLevel} = settings.value;
  const logs = new PartLogs(upstreamId, logLevel);
  const proxy = new ProxyRuntime(settings.value, logs);
  const addresses = await proxy.start();
  logs.write(
    'daemon',
    'info',
    `Listening for callers on ${addresses.callers}, peers on ${addresses.peers}, operators on ${addresses.operators}.`,
  );
  process.once('SIGTERM', () => proxy.startDrain());
  process.once('SIGINT', () => proxy.startDrain());
  await proxy.drained;
  await proxy.stop();
  logs.write('daemon', 'info', 'Planned stop is complete.');
}

await new Command('fireflysill-proxy')
  .description('Routes calls to upstreams and distributes their configuration.')
  .requiredOption('--settings <file>', 'settings in JSON')
  .option('--check', 'check the settings and exit')
  .action(run)
  .parseAsync();
