/**
 * A bare hop: a minimal reverse proxy, the baseline to which the added latency
 * of the system is compared. It receives with `http`, forwards with `undici`,
 * buffers whole bodies and makes no routing decisions.
 *
 * Arguments: address of the next hop. Prints its own address when it listens.
 */
import {createServer, IncomingMessage, ServerResponse} from 'node:http';
import {AddressInfo} from 'node:net';
import {Pool} from 'undici';

/** The request rates of the bench never need more connections than this. */
const MAX_CONNECTIONS = 256;

const [nextAddress] = process.argv.slice(2);
const pool = new Pool(`http://${nextAddress}`, {connections: MAX_CONNECTIONS});

async function readAll(source: AsyncIterable<Buffer>): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of source) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

async function forward(
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const body = await readAll(req);
  const response = await pool.request({
    method: req.method as 'GET',
    path: req.url ?? '/',
    headers: {'content-type': req.headers['content-type'] ?? 'text/plain'},
    body: body.length > 0 ? body : undefined,
  });
  const responseBody = await readAll(response.body);
  res.writeHead(response.statusCode, {
    'content-type': String(response.headers['content-type']),
    'content-length': responseBody.length,
  });
  res.end(responseBody);
}

const server = createServer((req, res) => {
  forward(req, res).catch(() => res.writeHead(502).end());
});
server.keepAliveTimeout = 60_000;
server.listen(0, '127.0.0.1', () => {
  console.log(`127.0.0.1:${(server.address() as AddressInfo).port}`);
});
