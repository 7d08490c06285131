/**
 * A sound target: answers 421 to requests for another id, echoes the request's id, signs
 * its answers, drops a request when its connection closes, and keeps connections open.
 */
import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';
import http from 'node:http';

export class Target {
  /** Runs that have begun: `{id, path, at, ended}`. */
  runs = [];
  sockets = new Set();
  /** Whole answers that were written on each connection. */
  answers = new WeakMap();

  /**
   * @param machine - Its machine.
   * @param work - Returns `{ms, body, unframed, stray, crash}` for a request: how long it
   *     takes, its answer's body, whether the answer ends with its connection, bytes that
   *     come before it and belong to no request, and what is done in place of an answer.
   */
  constructor(machine, work) {
    this.machine = machine;
    this.work = work;
    this.server = http.createServer({keepAliveTimeout: 10_000}, (req, res) =>
      this.handle(req, res),
    );
    this.server.on('connection', socket => {
      this.sockets.add(socket);
      socket.on('error', () => undefined);
      socket.once('close', () => this.sockets.delete(socket));
    });
  }

  handle(req, res) {
    const id = req.headers['x-request-id'];
    const head = {'x-request-id': id, 'x-instance-id': this.machine.id};
    if (req.headers['x-target-instance'] !== this.machine.id) {
      req.resume();
      res.writeHead(421, head).end();
      return;
    }
    req.resume();
    req.once('end', () => this.run(req, res, id, head));
  }

  run(req, res, id, head) {
    const run = {
      id,
      path: req.url,
      target: this.machine.n,
      /** Whole answers before it on its connection. */
      answersBefore: this.answers.get(req.socket) ?? 0,
      at: performance.now(),
      ended: undefined,
    };
    this.runs.push(run);
    const {
      ms = 0,
      body = `whole answer to ${id}`,
      unframed = false,
      stray,
      crash,
    } = this.work(req, run);
    if (crash !== undefined) {
      crash(res, head);
      return;
    }
    if (stray !== undefined) {
      req.socket.write(stray);
    }
    const {socket} = req;
    const timer = setTimeout(() => {
      run.ended = 'answered';
      this.answers.set(socket, run.answersBefore + 1);
      const headers = {...head, 'x-response-signature': `signature-of-${id}`};
      if (unframed) {
        res.useChunkedEncodingByDefault = false;
        res.writeHead(200, {...headers, connection: 'close'});
      } else {
        res.writeHead(200, {
          ...headers,
          'content-length': Buffer.byteLength(body),
        });
      }
      res.end(body);
    }, ms);
    res.once('close', () => {
      clearTimeout(timer);
      run.ended ??= 'dropped';
    });
  }

  /** Ends all connections and listens again after a time, as a process that restarts. */
  restartAfter(ms) {
    const {machine, server, sockets} = this;
    server.close();
    sockets.forEach(socket => socket.resetAndDestroy());
    setTimeout(() => server.listen(machine.app, machine.host), ms);
  }
}
