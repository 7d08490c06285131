/**
 * A proxy gets SIGTERM. Callers send requests 0.9 s later and read the answers slowly. All
 * runs end at once; the rest of each answer lies in the proxy.
 */
import {Buffer} from 'node:buffer';
import net from 'node:net';
import {performance} from 'node:perf_hooks';
import {clearInterval, setInterval} from 'node:timers';
import {TROUBLE, runCase, sleep} from '../lib-2/fleet.mjs';

const BODY = Buffer.alloc(15_000_000, 'abcdefgh');
const CALLERS = 3;
/** The callers read 4 Mbit/s at first, and what is left at once after that. */
const SLOW_FOR_MS = 2_100;
const SLOW_STEP_BYTES = 50_000;
const STEP_MS = 100;
/** Time from the signal to the requests; the machine still gets callers then. */
const SENT_AFTER_MS = 900;
const STABLE_WINDOW_MS = 3_000;
/** `X-Deadline-Ms` of `firmware-pull` in norrvik-mesh-grown. */
const BUDGET_MS = 2_789;
const TIMEOUT_MS = 2_600;

const routes = {
  'r-pull': {
    host: 'files.example',
    prefix: '/pull/',
    kind: 'download',
    timeout: `${TIMEOUT_MS}ms`,
    aim: '1200ms',
    priority: 1,
    service: 'files',
    attempts: 2,
  },
};

/** Sends one request and reads its answer slowly. */
function pull(id, address, recorder) {
  return new Promise(done => {
    const startedAt = performance.now();
    const socket = net.connect({...address, highWaterMark: SLOW_STEP_BYTES});
    const chunks = [];
    let received = 0;
    let total = Infinity;
    let isDone = false;
    let cause = 'in order';
    socket.on('error', error => (cause = error.code));
    const onReadable = () => undefined;
    socket.on('readable', onReadable);
    const finish = () => {
      if (isDone) {
        return;
      }
      isDone = true;
      clearInterval(timer);
      socket.destroy();
      const ms = Math.round(performance.now() - startedAt);
      const isWhole = received >= total;
      recorder.write(
        `caller ${id}: ${isWhole ? 'whole answer' : `connection ends ${cause}`} after ${ms} ms, ` +
          `${received} of ${total} bytes with the head`,
      );
      done(!isWhole && ms < TIMEOUT_MS);
    };
    const take = chunk => {
      if (total === Infinity) {
        chunks.push(chunk);
        const text = Buffer.concat(chunks).toString('latin1');
        const end = text.indexOf('\r\n\r\n');
        const length = /\r\ncontent-length: *(\d+)/i.exec(text)?.[1];
        if (end >= 0 && length !== undefined) {
          total = end + 4 + Number(length);
        }
      }
      received += chunk.length;
      if (received >= total) {
        finish();
      }
    };
    const timer = setInterval(() => {
      if (performance.now() - startedAt < SLOW_FOR_MS) {
        const chunk = socket.read(
          Math.min(SLOW_STEP_BYTES, socket.readableLength),
        );
        if (chunk !== null) {
          take(chunk);
        }
        return;
      }
      clearInterval(timer);
      socket.off('readable', onReadable);
      socket.on('close', finish);
      socket.on('data', take);
      socket.resume();
    }, STEP_MS);
    recorder.write(`caller sends ${id}`);
    socket.write(
      `GET /pull/${id} HTTP/1.1\r\nHost: files.example\r\nX-Request-Id: ${id}\r\nX-Deadline-Ms: ${BUDGET_MS}\r\n\r\n`,
    );
  });
}

await runCase(import.meta.dirname, async (fleet, recorder) => {
  await fleet.start(
    [
      {service: 'files', zone: 'a'},
      {service: 'files', zone: 'a'},
      {service: 'files', zone: 'b'},
    ],
    routes,
  );
  const [machine] = fleet.machines;
  for (const {target} of fleet.machines) {
    target.onRequest = (_req, _body, res, id) => {
      res.once('finish', () =>
        recorder.write(`target ${target.id} has written its answer to ${id}`),
      );
      target.answer(res, id, BODY);
      return true;
    };
  }
  await sleep(STABLE_WINDOW_MS + 500);
  if (TROUBLE) {
    machine.signal('SIGTERM');
  }
  await sleep(SENT_AFTER_MS);
  const ends = Array.from({length: CALLERS}, (_, n) =>
    pull(`pull-${n + 1}`, machine.callers, recorder),
  );
  const results = await Promise.all(ends);
  const broken = results.filter(Boolean).length;
  recorder.write(
    `${broken} of ${CALLERS} answers were cut by the planned stop`,
  );
  return broken > 0;
});
