/**
 * An upstream that answers at once, so that added time is not hidden by its
 * work. `/NAME/deep/N?NAME=ADDRESS/OTHER` makes it call `/OTHER/deep/N-1` at
 * that address, which gives calls of any depth. Arguments: listen address, own
 * name.
 */
import {createServer, IncomingMessage, ServerResponse} from 'node:http';
import {Agent, request} from 'undici';

const DEADLINE_HEADER = 'fireflysill-deadline-ms';

const [address, name] = process.argv.slice(2);
const [host, port] = address.split(':');
const agent = new Agent({connections: 256});
const RESPONSE_BODY = Buffer.from(JSON.stringify({upstream: name, ok: true}));

/** Where the next call of a chain goes: this name's part of the query. */
function getNextUrl(url: URL): string | undefined {
  const depth = Number(/\/deep\/(\d+)$/.exec(url.pathname)?.[1] ?? 0);
  const [nextAddress, nextName] = (url.searchParams.get(name) ?? '').split('/');
  return depth > 1 && nextAddress !== ''
    ? `http://${nextAddress}/${nextName}/deep/${depth - 1}${url.search}`
    : undefined;
}

/** Passes the deadline on and breaks off with its own caller. */
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
