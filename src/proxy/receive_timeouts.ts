/**
 * Finds connections whose clients take too long to send a request. Time in which this
 * process stands still does not count, because it reads late what clients sent in time.
 */
import {ServerResponse} from 'node:http';
import {Socket} from 'node:net';

/** Interval of the checks; a limit is exceeded by up to two of them. */
const CHECK_INTERVAL_MS = 1_000;

/** Time limits for what clients send, in milliseconds. */
export interface ReceiveLimits {
  /** From the first byte of a head to its last one. */
  headMs: number;
  /** Longest silence before the first request of a connection, and in a body. */
  idleMs: number;
  /** From a head to the end of its body; undefined: the handler limits it. */
  bodyMs?: number;
}

/** What a client took too long to send. */
export type OverduePart = 'first-request' | 'head' | 'body';

/** What a client is to send next; nothing while it waits for an answer. */
type Phase = OverduePart | 'nothing' | 'next-request';

interface Progress {
  phase: Phase;
  /** The response to the last request. */
  response?: ServerResponse;
  bytesRead: number;
  /** Time in the present phase, and since the last byte, in whole intervals. */
  phaseMs: number;
  silentMs: number;
}

export class ReceiveTimeouts {
  private readonly connections = new Map<Socket, Progress>();
  private readonly timer: NodeJS.Timeout;

  /**
   * @param limits - The limits, which may change.
   * @param findResponse - Finds the response to the last request of a connection.
   * @param onOverdue - Called with a connection that exceeds a limit.
   */
  constructor(
    private readonly limits: ReceiveLimits,
    private readonly findResponse: (
      socket: Socket,
    ) => ServerResponse | undefined,
    private readonly onOverdue: (socket: Socket, part: OverduePart) => void,
  ) {
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
    this.timer.unref();
  }

  /** Adds a connection that was accepted now. */
  add(socket: Socket): void {
    this.connections.set(socket, {
      phase: 'first-request',
      bytesRead: 0,
      phaseMs: 0,
      // The first check may come right after it was accepted.
      silentMs: -CHECK_INTERVAL_MS,
    });
    socket.once('close', () => this.connections.delete(socket));
  }

  /** Ends the checks. */
  stop(): void {
    clearInterval(this.timer);
  }

  private check(): void {
    for (const [socket, progress] of this.connections) {
      this.update(socket, progress);
      if (this.findOverdue(progress) !== undefined) {
        // Timers come before input that arrived meanwhile; read it first.
        setImmediate(() => this.confirm(socket, progress));
      }
    }
  }

  private update(socket: Socket, progress: Progress): void {
    const {bytesRead} = socket;
    const response = this.findResponse(socket);
    const phase = getPhase(socket, response, progress);
    const isNew = phase !== progress.phase || response !== progress.response;
    progress.phaseMs = isNew ? 0 : progress.phaseMs + CHECK_INTERVAL_MS;
    const isSilent = !isNew && bytesRead === progress.bytesRead;
    progress.silentMs = isSilent ? progress.silentMs + CHECK_INTERVAL_MS : 0;
    Object.assign(progress, {phase, response, bytesRead});
  }

  private confirm(socket: Socket, progress: Progress): void {
    const {phase, response, bytesRead} = progress;
    const overdue = this.findOverdue(progress);
    const latest = this.findResponse(socket);
    if (
      overdue === undefined ||
      socket.destroyed ||
      latest !== response ||
      getPhase(socket, latest, progress) !== phase ||
      (overdue === 'silence' && socket.bytesRead !== bytesRead) ||
      phase === 'nothing' ||
      phase === 'next-request'
    ) {
      return;
    }
    this.connections.delete(socket);
    this.onOverdue(socket, phase);
  }

  /** Finds which limit is exceeded, if any. */
  private findOverdue({
    phase,
    phaseMs,
    silentMs,
  }: Progress): 'phase' | 'silence' | undefined {
    const {headMs, idleMs, bodyMs = Infinity} = this.limits;
    switch (phase) {
      case 'first-request':
        return silentMs >= idleMs ? 'silence' : undefined;
      case 'head':
        return phaseMs >= headMs ? 'phase' : undefined;
      case 'body':
        if (phaseMs >= bodyMs) {
          return 'phase';
        }
        return silentMs >= idleMs ? 'silence' : undefined;
      case 'nothing':
      case 'next-request':
        // The keep-alive timeout of the server limits the latter.
        return undefined;
    }
  }
}

function getPhase(
  socket: Socket,
  response: ServerResponse | undefined,
  {phase, response: known, bytesRead}: Progress,
): Phase {
  if (response === undefined) {
    return socket.bytesRead === 0 ? 'first-request' : 'head';
  }
  if (!response.req.complete) {
    return 'body';
  }
  if (response !== known || !response.closed) {
    return 'nothing';
  }
  // Bytes since the last check may belong to the request that was answered meanwhile. A
  // head that began before this check is not recognized until more of it arrives.
  const wasIdle = phase === 'next-request';
  const hasBegun = wasIdle && socket.bytesRead > bytesRead;
  return phase === 'head' || hasBegun ? 'head' : 'next-request';
}
