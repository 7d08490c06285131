/**
 * An upstream that answers immediately, so that its own work does not hide the
 * latency that the system adds. A request for
 * `/NAME/deep/N?NAME=ADDRESS/OTHER` makes the upstream NAME call
 * `/OTHER/deep/N-1` at ADDRESS, which builds chains of N nested calls.
 *
 * Arguments: listen address, own name.
 */
import {createServer, IncomingMessage, ServerResponse} from 'node:http';
import {Agent, request} from 'undici';

const DEADLINE_HEADER = 'fireflysill-deadline-ms';

const [address, name] = process.argv.slice(2);
const [host, port] = address.split(':');
const agent = new Agent({connections: 256});
const RESPONSE_BODY = Buffer.from(JSON.stringify({upstream: name, ok: true}));

/**
 * Reads the URL of the next call of a chain from this upstream's query
 * parameter.
 */
function getNextUrl(url: URL): string | undefined {
  const depth = Number(/\/deep\/(\d+)$/.exec(url.pathname)?.[1] ?? 0);
  const [nextAddress, nextName] = (url.searchParams.get(name) ?? '').split('/');
  return depth > 1 && nextAddress !== ''
    ? `http://${nextAddress}/${nextName}/deep/${depth - 1}${url.search}`
    : undefined;
}

/**
 * Forwards the deadline; aborts when the caller of this upstream disconnects.
 */
async function callNext(
  nextUrl: string,
  req: IncomingMessage,
  signal: AbortSignal,
): Promise<number> {
  const deadline = req.headers[DEADLINE_HEADER];
  const headers = deadline === undefined ? {} : {[DEADLINE_HEADER]: deadline};
  const response = await request(nextUrl, {dispatcher: agent, headers, signal});
  await response.body.arrayBuffer();
  return response.statusCode;
}

async function serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
  const url = new URL(req.url ?? '/', 'http://upstream');
  const nextUrl = getNextUrl(url);
  const controller = new AbortController();
  res.once('close', () => controller.abort());
  const status =
    nextUrl === undefined
      ? 200
      : await callNext(nextUrl, req, controller.signal);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': RESPONSE_BODY.length,
  });
  res.end(RESPONSE_BODY);
}

const server = createServer((req, res) => {
  req.resume();
  req.once('end', () => {
    serve(req, res).catch(() => res.writeHead(502).end());
  });
});
server.keepAliveTimeout = 60_000;
server.listen(Number(port), host, () => console.log(address));
