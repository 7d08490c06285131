/* global performance */
/**
 * The store gives no answers to 35 % of the machines, and serves the others, while the
 * configuration changes. No machine learns of the new version in time.
 */
import {runCase, sleep} from '../lib/harness.mjs';

/** The machines that the store turns away: the first seven of twenty (a share of 0.35). */
const SILENCED = 7;
const MACHINES = 20;
const SILENCE_MS = 9_000;
const CHANGE_AFTER_MS = 300;
/** Fast links for the machines that are turned away; the sites have 7 to 140 Mbit/s. */
const LINKS_MBPS = Array.from({length: MACHINES}, (_, n) =>
  n < SILENCED ? 140 : 14,
);

/** `config-apply`, and `outer` in case the store should count as unstable. */
const CONFIG_APPLY_MS = 2_000;
const OUTER_MS = 5_000;
const PROBE_EVERY_MS = 100;
const ROUNDS = 2;

const ROUTE = {
  kind: 'safe',
  timeout: '1200ms',
  aim: '400ms',
  service: 'desk',
};

await runCase(import.meta.dirname, async ({recorder, trouble, createFleet}) => {
  const fleet = createFleet({
    slots: 9,
    linksMbps: LINKS_MBPS,
    routes: {'r-view': {...ROUTE, prefix: '/view/'}},
  });
  const services = Array.from({length: MACHINES}, () => 'desk');
  await fleet.start(services, () => ({ms: 20}));
  await sleep(5_000);

  let isOver = false;
  let added = 0;
  let ackedAt = Infinity;
  const late = [];
  /** Asks a machine for the route that was added last. */
  async function probe(machine) {
    for (let n = 0; !isOver; n += 1) {
      if (added > 0) {
        const id = `${machine.host}-${n}`;
        const sentAt = performance.now();
        const version = added;
        const {status} = await machine.call({path: `/added-${version}/`, id});
        const sinceAckMs = sentAt - ackedAt;
        if (
          status === 404 &&
          version === added &&
          sinceAckMs > CONFIG_APPLY_MS + OUTER_MS
        ) {
          late.push(id);
          recorder.write(
            `${id}: 404 for the route of change ${version}, sent ${Math.round(sinceAckMs)} ms after its ack`,
          );
        }
      }
      await sleep(PROBE_EVERY_MS);
    }
  }
  async function changeConfigs() {
    for (let round = 1; round <= ROUNDS; round += 1) {
      const turnedAway = trouble ? fleet.machines.slice(0, SILENCED) : [];
      turnedAway.forEach(({door}) => (door.silent = true));
      const hosts = turnedAway.map(({host}) => host).join(', ');
      recorder.write(`the store gives no answers to: ${hosts || 'nobody'}`);
      await sleep(CHANGE_AFTER_MS);
      const config = fleet.createConfig(services);
      config['base-version'] = 7 + 3 * (round - 1);
      config.version = 7 + 3 * round;
      const route = {...ROUTE, host: 'shop.example', attempts: 2, priority: 1};
      config.routes['r-added'] = {...route, prefix: `/added-${round}/`};
      fleet.store.put('op/config', config);
      ackedAt = performance.now();
      added = round;
      recorder.write(`version ${config.version} is acknowledged`);
      await sleep(SILENCE_MS - CHANGE_AFTER_MS);
      turnedAway.forEach(({door}) => (door.silent = false));
      recorder.write('the store serves all machines');
      await sleep(12_000);
    }
    isOver = true;
  }
  await Promise.all([
    changeConfigs(),
    ...fleet.machines.slice(SILENCED).map(machine => probe(machine)),
  ]);
  recorder.write(
    'requests at machines that the store serves, handled by an older version more than ' +
      `${CONFIG_APPLY_MS + OUTER_MS} ms after the ack: ${late.length}`,
  );
  return late.length === 0;
});
