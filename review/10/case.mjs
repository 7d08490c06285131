/**
 * The operator adds a route that may be sent to 20 targets, and later moves another route
 * to another service.
 */
import {request} from 'node:http';
import {performance} from 'node:perf_hooks';
import {LIMITS, TROUBLE, runCase, sleep} from '../lib-2/fleet.mjs';

/** `attempts` of the added route. */
const ATTEMPTS = TROUBLE ? 20 : 2;
const CONFIG_APPLY_MS = 2_000;
/** `config-apply` and `outer` together. */
const LATEST_MS = 7_000;

function route(prefix, service, attempts = 2) {
  return {
    host: 'shop.example',
    prefix,
    kind: 'safe',
    timeout: '1500ms',
    aim: '400ms',
    priority: 2,
    service,
    attempts,
  };
}

const FIRST = {'r-view': route('/view/', 'desk')};
const ADDED = {...FIRST, 'r-find': route('/find/', 'desk', ATTEMPTS)};
const MOVED = {...ADDED, 'r-view': route('/view/', 'stock')};

function get(machine, id, path) {
  return new Promise(done => {
    const headers = {
      host: 'shop.example',
      'x-request-id': id,
      'x-deadline-ms': '2500',
    };
    const options = {...machine.callers, path, headers, agent: false};
    const req = request({...options, timeout: 4000}, res => {
      res.resume();
      res.on('end', () => done(String(res.statusCode)));
    });
    req.on('timeout', () => req.destroy());
    req.on('error', error => done(error.code));
    req.end();
  });
}

await runCase(import.meta.dirname, async (fleet, recorder) => {
  await fleet.start(
    [
      {service: 'desk', zone: 'a'},
      {service: 'desk', zone: 'b'},
      {service: 'stock', zone: 'a'},
    ],
    FIRST,
  );
  const {machines, store} = fleet;
  const services = {};
  for (const {service} of machines) {
    services[service] = {
      'health-path': '/healthz',
      'max-conns': 120,
      protocol: 'h1',
      tls: false,
    };
  }
  let ackedAt = 0;
  const publish = (version, routes, base) => {
    const config = {version, routes, services, limits: LIMITS};
    store.put('op/config', {...config, 'base-version': base});
    ackedAt = performance.now();
    recorder.write(`the store accepts version ${version}`);
  };
  let late = 0;
  let sent = 0;
  /** Sends requests on a route and counts those that the latest version doesn't explain. */
  const ask = async (path, service) => {
    for (let n = 0; n < 5; n += 1) {
      for (const machine of machines) {
        sent += 1;
        const id = `get-${sent}`;
        const sinceMs = Math.round(performance.now() - ackedAt);
        const status = await get(machine, id, `${path}${id}`);
        const runner = machines.find(({target}) =>
          target.runs.some(run => run.id === id),
        );
        const isNew = status === '200' && runner?.service === service;
        recorder.write(
          `${path}${id} at machine ${machine.n}, ${sinceMs} ms after the ack: ${status}, run by ${runner?.service ?? 'nobody'}`,
        );
        if (!isNew && sinceMs > CONFIG_APPLY_MS) {
          late += 1;
        }
      }
      await sleep(200);
    }
  };
  await sleep(3_500);
  publish(8, ADDED, 7);
  await sleep(LATEST_MS);
  await ask('/find/', 'desk');
  publish(12, MOVED, 8);
  await sleep(LATEST_MS);
  await ask('/view/', 'stock');
  for (const machine of machines) {
    const {text} = await machine.get(fleet.ports.operators, '/v1/status');
    recorder.write(
      `machine ${machine.n} has version ${JSON.parse(text).version}`,
    );
  }
  recorder.write(
    `${late} of ${sent} requests were handled as only an older version allows`,
  );
  return late > 0;
});
