/**
 * Not part of the case's verdict: the same fault without a disruption. Callers open a
 * connection and send their first request on it 2.9 to 4.2 s later.
 */
import net from 'node:net';
import process from 'node:process';
import {setTimeout} from 'node:timers';
import {runCase, sleep} from '../lib-2/fleet.mjs';
import {readAnswer, startRelay} from '../lib-2/relay.mjs';

const CONNECTIONS = 1_500;
const CLIENT_MS = 8;

const routes = {
  'r-change': {
    host: 'desk.example',
    prefix: '/change/',
    kind: 'unsafe',
    timeout: '2500ms',
    aim: '500ms',
    priority: 1,
    service: 'desk',
    attempts: 2,
  },
};

function open(id, address) {
  const caller = {id, text: '', sent: false, status: undefined};
  const socket = net.connect({...address, noDelay: true});
  socket.on('error', () => undefined);
  socket.on('data', chunk => {
    caller.text += chunk;
    const answer = readAnswer(caller.text);
    if (answer !== undefined) {
      caller.status = answer.status;
      socket.destroy();
    }
  });
  setTimeout(
    () => {
      if (caller.text === '' && !socket.destroyed) {
        caller.sent = true;
        socket.write(
          `POST /change/${id} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: ${id}\r\n` +
            'X-Deadline-Ms: 3000\r\nContent-Length: 2\r\n\r\nok',
        );
      }
    },
    2_900 + Math.random() * 1_300,
  );
  return caller;
}

await runCase(
  import.meta.dirname,
  async (fleet, recorder) => {
    const zones = ['a', 'a', 'b'];
    await fleet.start(
      zones.map(zone => ({service: 'desk', zone})),
      routes,
    );
    const relay = await startRelay(fleet.machines[0].callers, CLIENT_MS);
    const callers = [];
    for (let n = 1; n <= CONNECTIONS; n += 1) {
      callers.push(open(`change-${n}`, relay.address));
      await sleep(3);
    }
    await sleep(8_000);
    relay.stop();
    const ran = new Set(
      fleet.machines.flatMap(({target}) => target.runs.map(({id}) => id)),
    );
    const sent = callers.filter(caller => caller.sent);
    const broken = sent.filter(
      ({id, status}) => status === 408 && ran.has(id),
    ).length;
    const text = `${broken} of ${sent.length} requests that were sent were answered 408 and have run`;
    recorder.write(text);
    process.stdout.write(`${text}\n`);
    return broken > 0;
  },
  'record-idle.txt',
);
