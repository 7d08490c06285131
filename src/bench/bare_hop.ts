/**
 * A bare pass-through hop, the baseline of added time: `http` in, `undici`
 * out, whole bodies, no decisions. Arguments: address of the next hop.
 */
import {createServer, IncomingMessage, ServerResponse} from 'node:http';
import {AddressInfo} from 'node:net';
import {Pool} from 'undici';

/** Connections to the next hop; more would not be used at the bench's rates. */
const CONNECTIONS = 256;

const [next] = process.argv.slice(2);
const pool = new Pool(`http://${next}`, {connections: CONNECTIONS});

async function readAll(source: AsyncIterable<Buffer>): Promise<Buffer> {
  const pieces: Buffer[] = [];
  for await (const piece of source) {
    pieces.push(piece);
  }
  return Buffer.concat(pieces);
}

async function pass(req: IncomingMessage, res: ServerResponse): Promise<void> {
  const body = await readAll(req);
  const answer = await pool.request({
    method: req.method as 'GET',
    path: req.url ?? '/',
    headers: {'content-type': req.headers['content-type'] ?? 'text/plain'},
    body: body.length > 0 ? body : undefined,
  });
  const answerBody = await readAll(answer.body);
  res.writeHead(answer.statusCode, {
    'content-type': String(answer.headers['content-type']),
    'content-length': answerBody.length,
  });
  res.end(answerBody);
}

const server = createServer((req, res) => {
  pass(req, res).catch(() => res.writeHead(502).end());
});
server.keepAliveTimeout = 60_000;
server.listen(0, '127.0.0.1', () => {
  console.log(`127.0.0.1:${(server.address() as AddressInfo).port}`);
});
