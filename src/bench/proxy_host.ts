/**
 * Runs several proxies of a fleet in one process, through the library, and
 * serves statistics over HTTP. Prints the address of the statistics server as
 * its first line of output.
 *
 * Arguments: control ports separated by commas, then settings files.
 */
import {createServer} from 'node:http';
import {AddressInfo} from 'node:net';
import {describeSettingsError, loadSettings} from '../proxy/load_settings.js';
import {PartLogs} from '../proxy/log.js';
import {ProxyRuntime} from '../proxy/proxy_runtime.js';
import {HostStats} from './fleet.js';
import {SocketByteCounter} from './socket_byte_counter.js';

const US_PER_MS = 1_000;

const [ports, ...settingsFiles] = process.argv.slice(2);
const counter = new SocketByteCounter(new Set(ports.split(',').map(Number)));

for (const file of settingsFiles) {
  const loaded = loadSettings(file);
  if (loaded.isErr()) {
    throw new Error(loaded.error.map(describeSettingsError).join('\n'));
  }
  const {upstreamId, logLevel} = loaded.value;
  const logs = new PartLogs(upstreamId, logLevel);
  await new ProxyRuntime(loaded.value, logs).start();
}

function getStats(): HostStats {
  const {user, system} = process.cpuUsage();
  return {
    controlBytes: counter.countBytes(),
    processorMs: (user + system) / US_PER_MS,
  };
}

const server = createServer((_, res) => res.end(JSON.stringify(getStats())));
server.listen(0, '127.0.0.1', () => {
  console.log(`127.0.0.1:${(server.address() as AddressInfo).port}`);
});
