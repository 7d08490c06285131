/** Real proxies beside upstreams whose answers have a status that HTTP does not know. */
import {HEADER_NAMES} from '../../platform/header_names.js';
import {expect} from '../support/chai_setup.js';
import {FleetStandin} from './fleet_standin.js';
import {ProcessMachine} from './process_machine.js';
import {RawClient, RawRequest} from './raw_client.js';

/** Status lines, each written in place of an answer's. */
const STATUS_LINES = [
  'HTTP/1.1 000 OK',
  'HTTP/1.1 000',
  'HTTP/1.0 000 OK',
  'HTTP/1.1 001 OK',
  'HTTP/1.1 099 OK',
  'HTTP/1.1 0 OK',
  'HTTP/1.1 -01 OK',
  'HTTP/1.1 0200 OK',
  'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK',
] as const;

/** What follows a status line and the identifier of the request. */
const RESTS: Readonly<Record<string, string>> = {
  'a length': 'Content-Length: 5\r\n\r\nbytes',
  chunks: 'Transfer-Encoding: chunked\r\n\r\n5\r\nbytes\r\n0\r\n\r\n',
  'no length': 'Connection: close\r\n\r\nbytes',
};

/** Requests that are sent one after the other on a connection. */
const REQUESTS: readonly RawRequest[] = [
  {id: 'sound-1', method: 'POST', path: '/charge/sound', body: 'body'},
  {id: 'spoiled-1', method: 'POST', path: '/charge/spoiled', body: 'body'},
  {id: 'sound-2', method: 'POST', path: '/charge/sound', body: 'body'},
  {id: 'spoiled-2', method: 'GET', path: '/read/spoiled'},
];

describe('an answer whose status is none', () => {
  let fleet: FleetStandin<ProcessMachine>;

  before(async () => {
    fleet = new FleetStandin((...args) => new ProcessMachine(...args));
    await fleet.start(2);
  });

  after(() => fleet.stop());

  function spoilAnswers(statusLine: string, rest: string): void {
    for (const {upstream} of fleet.machines) {
      upstream.intercept = (path, id, res) => {
        const isSpoiled = path.includes('spoiled');
        if (isSpoiled) {
          const fields = `${HEADER_NAMES.requestId}: ${id}\r\nX-Response-Signature: signed\r\n`;
          res.socket?.write(`${statusLine}\r\n${fields}${rest}`);
          if (rest.includes('close')) {
            res.socket?.end();
          }
        }
        return isSpoiled;
      };
    }
  }

  // Guards against MIXED: a caller gets the spoiled status as its answer.
  for (const statusLine of STATUS_LINES) {
    for (const [name, rest] of Object.entries(RESTS)) {
      it(`${JSON.stringify(statusLine)} with ${name} reaches no caller`, async () => {
        spoilAnswers(statusLine, rest);
        const ended: Array<number | undefined> = [];
        for (const {host, callersPort} of fleet.machines) {
          const client = new RawClient(host, callersPort);
          for (const req of REQUESTS) {
            const exchange = client.send(req);
            await client.waitFor(0);
            ended.push(exchange.status);
          }
          client.close();
        }
        const expected = [200, 502, 200, 502];
        expect(ended).to.deep.equal([...expected, ...expected]);
      });
    }
  }
});
