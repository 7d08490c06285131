/**
 * Five of nine proxies are killed at the same moment and start again after 2 s. At that
 * moment a target on another machine leaves: its entry is removed, and it serves on.
 * Counts the requests that reach it later than `drain` after that, all from machines that
 * nothing has happened to.
 */
import {performance} from 'node:perf_hooks';
import {clearInterval, setInterval, setTimeout} from 'node:timers';
import {
  TROUBLE,
  call,
  createConfig,
  record,
  runCase,
  sleep,
} from '../lib-3/harness.mjs';
import {Target} from '../lib-3/target.mjs';

const MACHINES = 9;
/** The machines whose targets have run longest; 5 of 9 is a share of 0.556. */
const KILLED = 5;
const DOWN_MS = 2_000;
const DRAIN_MS = 2_000;
/** With four of nine targets left, most of their slots are in use. */
const WORK_MS = 100;
const CALL_EVERY_MS = 12;
const SERVES_ON_MS = 6_000;
const HOUR_MS = 3_600_000;

await runCase(
  import.meta.url,
  {heartbeatMs: 870, slots: 2},
  async deployment => {
    const route = {
      host: 'shop.example',
      prefix: '/read/',
      kind: 'safe',
      timeout: '2s',
      aim: '400ms',
      attempts: 2,
      priority: 1,
      service: 'desk',
    };
    const targets = [];
    const services = Array.from({length: MACHINES}, () => 'desk');
    await deployment.start(
      services,
      createConfig(7, {read: route}, ['desk']),
      machine => {
        machine.born = Date.now() - (MACHINES - machine.n) * HOUR_MS;
        const target = new Target(machine, () => ({ms: WORK_MS}));
        targets.push(target);
        return target.server;
      },
    );
    const {machines, store} = deployment;
    const killed = machines.slice(0, KILLED);
    const calm = machines.slice(KILLED);
    const leaving = machines[MACHINES - 1];
    const target = targets[MACHINES - 1];
    let sent = 0;
    const load = setInterval(() => {
      const from = calm[sent % calm.length];
      void call(from, {
        path: `/read/q${sent}`,
        id: `q${sent++}`,
        deadlineMs: 1_500,
      });
    }, CALL_EVERY_MS);
    await sleep(2_000);
    if (TROUBLE) {
      killed.forEach(({proxy}) => proxy.kill('SIGKILL'));
      record(`SIGKILL to the proxies ${killed.map(({n}) => n).join(', ')}`);
      setTimeout(
        () => killed.forEach(machine => machine.startProxy()),
        DOWN_MS,
      );
    }
    await sleep(50);
    leaving.isSilent = true;
    store.remove(`servers/${leaving.id}`);
    const removedAt = performance.now();
    record(
      `the entry of target ${leaving.n} is removed; it has run ${target.runs.length} requests`,
    );
    await sleep(SERVES_ON_MS);
    clearInterval(load);
    await sleep(1_600);
    const late = target.runs.filter(({at}) => at > removedAt + DRAIN_MS);
    late
      .slice(0, 20)
      .forEach(({id, at}) =>
        record(
          `${id} reached target ${leaving.n} ${Math.round(at - removedAt)} ms after the removal`,
        ),
      );
    const readings = store.readings
      .filter(({prefix, at}) => prefix === 'servers/' && at > removedAt - 1_000)
      .map(({at}) => Math.round(at - removedAt));
    record(`the list was read ${readings.slice(0, 12).join(', ')} ms after it`);
    const last = Math.max(0, ...target.runs.map(({at}) => at - removedAt));
    record(
      `${late.length} requests reached it later than ${DRAIN_MS} ms after it; the last one after ${Math.round(last)} ms`,
    );
    return late.length > 0
      ? `DRAIN: ${late.length} requests reached a target later than drain after it was acknowledged as gone`
      : undefined;
  },
);
