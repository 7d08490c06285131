/* global Buffer, clearInterval, performance, setInterval */
/**
 * Large uploads within `max-body-bytes` during bursts: the proxy that takes them exceeds
 * its memory, is killed, and the requests on its kept connections get no answer.
 */
import {Agent} from 'node:http';
import {runCase, sleep} from '../lib/harness.mjs';

/** `memory-mb` of the machines; a process that exceeds it is killed. */
const MEMORY_MB = 350;

const UPLOAD_BYTES = 28 * 1_048_576;
/** Uploads that begin together; a burst has 1.67 times as many (the limit is 1.7). */
const USUAL_UPLOADS = 3;
const BURST_UPLOADS = 5;
const ROUND_MS = 1_500;
const BURST_EVERY_MS = 12_000;
const BURST_MS = 3_000;
const LENGTH_MS = 60_000;

const READERS = 8;
const STABLE_WINDOW_MS = 3_000;

await runCase(import.meta.dirname, async ({recorder, trouble, createFleet}) => {
  const arrived = new Set();
  const fleet = createFleet({
    slots: 9,
    routes: {
      'r-history': {
        prefix: '/history/',
        kind: 'safe',
        timeout: '4000ms',
        aim: '1200ms',
        service: 'archive',
      },
      'r-upload': {
        prefix: '/upload/',
        kind: 'upload',
        timeout: '4000ms',
        aim: '2000ms',
        service: 'archive',
      },
    },
  });
  await fleet.start(
    ['desk', 'archive', 'archive', 'archive'],
    req => ({ms: req.url.startsWith('/upload/') ? 140 : 480}),
    (target, req, id, size) => {
      arrived.add(id);
      recorder.write(`target ${target.id} runs ${id} (${size} bytes)`);
    },
  );
  const [entry] = fleet.machines;
  const memoryTimer = setInterval(
    () => fleet.machines.forEach(machine => machine.enforceMemory(MEMORY_MB)),
    10,
  );
  await sleep(STABLE_WINDOW_MS + 500);

  const endsAt = performance.now() + LENGTH_MS;
  const isOver = () => performance.now() >= endsAt;
  const lost = [];

  /** Sends reads one after the other on one kept connection. */
  async function read(reader) {
    const agent = new Agent({keepAlive: true, maxSockets: 1});
    for (let n = 0; !isOver(); n += 1) {
      const id = `read-${reader}-${n}`;
      const sentAt = performance.now();
      const reply = await entry.call({
        path: `/history/${id}`,
        id,
        deadlineMs: 8_000,
        agent,
      });
      const wasInTouch = sentAt - entry.startedAt > STABLE_WINDOW_MS;
      if (reply.status !== 200) {
        recorder.write(`${id}: ${reply.status} ${reply.error ?? ''}`);
        // The platform starts the process again after a short delay.
        await sleep(100);
      }
      if (n > 0 && reply.status === 0 && arrived.has(id) && wasInTouch) {
        lost.push(id);
      }
    }
    agent.destroy();
  }

  async function upload(id) {
    const body = Buffer.alloc(UPLOAD_BYTES, 'x');
    const reply = await entry.call({
      method: 'POST',
      path: `/upload/${id}`,
      id,
      deadlineMs: 8_000,
      body,
    });
    const reason = reply.error ?? reply.headers['fireflysill-reason'] ?? '';
    recorder.write(`${id}: ${reply.status} ${reason}`);
  }

  async function sendUploads() {
    const startedAt = performance.now();
    for (let round = 0; !isOver(); round += 1) {
      const phase = (performance.now() - startedAt) % BURST_EVERY_MS;
      const isBurst = trouble && phase >= BURST_EVERY_MS - BURST_MS;
      const count = isBurst ? BURST_UPLOADS : USUAL_UPLOADS;
      recorder.write(
        `${count} uploads of ${UPLOAD_BYTES} bytes; proxy uses ${Math.round(entry.residentMb)} MB`,
      );
      const nextAt = performance.now() + ROUND_MS;
      await Promise.all(
        Array.from({length: count}, (_, n) => upload(`upload-${round}-${n}`)),
      );
      await sleep(Math.max(0, nextAt - performance.now()));
    }
  }

  await Promise.all([
    sendUploads(),
    ...Array.from({length: READERS}, (_, n) => read(n)),
  ]);
  clearInterval(memoryTimer);
  const peaks = fleet.machines.map(({peakMb}) => Math.round(peakMb));
  recorder.write(`peak memory of the proxies in MB: ${peaks.join(', ')}`);
  recorder.write(
    `requests from kept connections that were passed on and got no answer: ${lost.length}`,
  );
  return lost.length <= 3;
});
