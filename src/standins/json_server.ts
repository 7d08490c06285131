/** A small JSON-over-HTTP server, shared by the stand-ins' interfaces. */
import {
  createServer,
  IncomingMessage,
  RequestListener,
  Server,
  ServerResponse,
} from 'node:http';
import {AddressInfo} from 'node:net';
import {err, ok, Result} from 'neverthrow';
import * as z from 'zod';
import {createStandinError, StandinError, STANDIN_ERRORS} from './errors.js';

const LOOPBACK = '127.0.0.1';

/**
 * Bodies of up to this many times the limit are read and thrown away, because
 * a client that is cut off while it sends may never see the error.
 */
const DISCARD_LIMIT_FACTOR = 8;

/** What a handler sees of one request. */
export interface JsonRequest {
  readonly req: IncomingMessage;
  readonly url: URL;
  /** Aborted when the client goes away before the answer. */
  readonly signal: AbortSignal;
}

export type JsonHandler = (
  request: JsonRequest,
) => Promise<Result<unknown, StandinError>>;

/** Handlers by path, then by method. */
export type JsonRoutes = Readonly<
  Record<string, Readonly<Record<string, JsonHandler>>>
>;

/**
 * Makes a request listener that answers each request with JSON.
 * @param routes - The handlers.
 * @returns The listener.
 */
export function createJsonListener(routes: JsonRoutes): RequestListener {
  return (req, res) => {
    void handleRequest(routes, req, res);
  };
}

/**
 * Makes a server that answers each request with JSON.
 * @param routes - The handlers.
 * @returns The server, not yet listening.
 */
export function createJsonServer(routes: JsonRoutes): Server {
  return createServer(createJsonListener(routes));
}

async function handleRequest(
  routes: JsonRoutes,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const url = parseRequestUrl(req);
  const abort = new AbortController();
  res.on('close', () => abort.abort());
  const handler = findHandler(routes, req.method ?? '', url.pathname);
  const result = handler.isOk()
    ? await handler.value({req, url, signal: abort.signal})
    : err(handler.error);
  if (res.destroyed) {
    return;
  }
  result.match(
    body => sendJson(res, 200, body),
    error => sendError(res, error),
  );
}

function findHandler(
  routes: JsonRoutes,
  method: string,
  path: string,
): Result<JsonHandler, StandinError> {
  if (!Object.hasOwn(routes, path)) {
    return err(createStandinError('unknown_path', path));
  }
  const methods = routes[path];
  return Object.hasOwn(methods, method)
    ? ok(methods[method])
    : err(createStandinError('unknown_method', method));
}

/**
 * Reads the path and query of a request.
 * @param req - The request.
 * @returns The URL; its host carries no meaning.
 */
export function parseRequestUrl(req: IncomingMessage): URL {
  const target = req.url ?? '/';
  const path = target.startsWith('/') ? target : '/';
  return new URL(`http://${LOOPBACK}${path.replace(/^\/+/, '/')}`);
}

/**
 * Sends a JSON answer.
 * @param res - The response.
 * @param status - HTTP status.
 * @param body - The value to send.
 */
export function sendJson(
  res: ServerResponse,
  status: number,
  body: unknown,
): void {
  const text = Buffer.from(JSON.stringify(body));
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': text.length,
  });
  res.end(text);
}

/**
 * Sends an error with the message and status of its kind.
 * @param res - The response.
 * @param error - The error.
 */
export function sendError(res: ServerResponse, error: StandinError): void {
  const {status, message} = STANDIN_ERRORS[error.code];
  // The rest of a body that was not read would be taken for a request.
  if (!res.req.complete) {
    res.setHeader('connection', 'close');
  }
  sendJson(res, status, {error: {...error, message}});
}

/**
 * Reads a whole request body.
 * @param req - The request.
 * @param maxBytes - Longest body that is accepted.
 * @returns The body, or `body_too_large` or `body_incomplete`.
 */
export async function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, StandinError>> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of req as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size <= maxBytes) {
        chunks.push(chunk);
      } else if (size > maxBytes * DISCARD_LIMIT_FACTOR) {
        break;
      }
    }
  } catch {
    return err(createStandinError('body_incomplete'));
  }
  return size > maxBytes
    ? err(createStandinError('body_too_large', `over ${maxBytes} bytes`))
    : ok(Buffer.concat(chunks));
}

/**
 * Reads and checks a JSON request body.
 * @param req - The request.
 * @param schema - What the body must be; an empty body counts as `{}`.
 * @param maxBytes - Longest body that is accepted.
 * @returns The value, or an error that names the offending path.
 */
export async function readJson<T>(
  req: IncomingMessage,
  schema: z.ZodType<T>,
  maxBytes: number,
): Promise<Result<T, StandinError>> {
  const body = await readBody(req, maxBytes);
  return body.andThen(bytes => parseJson(bytes.toString('utf8'), schema));
}

function parseJson<T>(
  text: string,
  schema: z.ZodType<T>,
): Result<T, StandinError> {
  let value: unknown;
  try {
    value = text === '' ? {} : JSON.parse(text);
  } catch {
    return err(createStandinError('bad_body', 'the body is not JSON'));
  }
  return validate(schema, value, 'bad_body');
}

/**
 * Checks the query parameters of a request.
 * @param url - The request's URL.
 * @param schema - What the parameters must be.
 * @returns The parameters, or `bad_query`.
 */
export function parseQuery<T>(
  url: URL,
  schema: z.ZodType<T>,
): Result<T, StandinError> {
  return validate(schema, Object.fromEntries(url.searchParams), 'bad_query');
}

/**
 * Checks a value against a schema.
 * @param schema - The schema.
 * @param value - The value.
 * @param code - Code of the error where it does not match.
 * @returns The value, or an error whose detail names the path.
 */
export function validate<T>(
  schema: z.ZodType<T>,
  value: unknown,
  code: 'bad_body' | 'bad_query' | 'bad_header',
): Result<T, StandinError> {
  const parsed = schema.safeParse(value);
  if (parsed.success) {
    return ok(parsed.data);
  }
  const details = parsed.error.issues.map(
    issue => `${issue.path.join('.') || '(whole)'}: ${issue.message}`,
  );
  return err(createStandinError(code, details.join('; ')));
}

/**
 * Listens on loopback.
 * @param server - The server.
 * @param port - The port; 0 lets the system choose.
 * @returns The port in use. Rejects where the port is taken.
 */
export async function listen(server: Server, port: number): Promise<number> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, LOOPBACK, resolve);
  });
  return (server.address() as AddressInfo).port;
}

/**
 * Closes a server together with its connections.
 * @param server - The server.
 */
export async function closeServer(server: Server): Promise<void> {
  const closed = new Promise(resolve => server.close(resolve));
  server.closeAllConnections();
  await closed;
}
