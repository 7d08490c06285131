/** Connections of callers that are some milliseconds away, and a reader of answers. */
import net from 'node:net';
import {setTimeout} from 'node:timers';

/**
 * Forwards connections with a delay in each direction, ends of connections included.
 * @returns The address to connect to, and `stop`.
 */
export async function startRelay(target, oneWayMs) {
  const sockets = new Set();
  const pipe = (from, to) => {
    from.on('data', chunk =>
      setTimeout(() => to.writable && to.write(chunk), oneWayMs),
    );
    from.on('end', () => setTimeout(() => to.end(), oneWayMs));
    from.on('error', () => undefined);
    from.on('close', () => {
      sockets.delete(from);
      setTimeout(() => to.destroySoon(), oneWayMs);
    });
  };
  const server = net.createServer(
    {allowHalfOpen: true, noDelay: true},
    near => {
      const far = net.connect({...target, allowHalfOpen: true, noDelay: true});
      sockets.add(near).add(far);
      pipe(near, far);
      pipe(far, near);
    },
  );
  server.listen(0, '127.0.0.1');
  await new Promise(done => server.once('listening', done));
  const {port} = server.address();
  return {
    address: {host: '127.0.0.1', port},
    stop: () => {
      sockets.forEach(socket => socket.destroy());
      server.close();
    },
  };
}

/** Reads one answer with a length; undefined while it is not whole. */
export function readAnswer(text) {
  const end = text.indexOf('\r\n\r\n');
  if (end < 0) {
    return undefined;
  }
  const head = text.slice(0, end);
  const length = Number(/\r\ncontent-length: *(\d+)/i.exec(head)?.[1] ?? 0);
  if (text.length < end + 4 + length) {
    return undefined;
  }
  return {
    status: Number(head.split(' ')[1]),
    head,
    closes: /\r\nconnection: *close/i.test(head),
  };
}
