/**
 * Decides when peers send the bodies that they have offered to this process. Load
 * pattern: the entries of a fleet upload to a few upstreams behind narrow connections.
 * No entry knows what the others send, so without it their bodies wait in front of the
 * connection, and all small messages behind them.
 */
import {getPacedMs, getSendBytes} from '../core/mesh/link_rate.js';
import {ServiceClaim, compareClaims} from '../core/mesh/service_order.js';
import {BodyClaim} from './body_pacer.js';

/**
 * Time that the granted bytes take which have not arrived, at most, in milliseconds.
 * Small messages are delayed by so much.
 */
const WINDOW_MS = 50;

/** Least number of such bytes. */
const MIN_WINDOW_BYTES = 49_152;

/** Least number of bytes that are granted at once, but for the end of a body. */
const MIN_GRANT_BYTES = 8_192;

/** Time without progress after which a granted body does not keep others waiting. */
const STALLED_MS = 250;

/**
 * Share of its time budget that a body waits for its first grant, at most. After that,
 * its caller is told while it can still do something else.
 */
const MAX_WAIT_SHARE = 0.5;

/** A body that a peer sends as far as it is granted. */
export interface OfferedBody {
  readonly claim: BodyClaim;
  readonly offeredAt: number;
  /** Time budget of its attempt when it was offered, in milliseconds. */
  readonly timeoutMs: number;
  readonly totalBytes: number;
  readonly receivedBytes: number;
  grantedBytes: number;
  /** When it was last granted or received a part of. */
  progressAt: number;
  /** Tells its sender how many bytes it may send, from the start of the body. */
  grant(bytes: number): void;
  /** Refuses it; its attempt does not run here. */
  refuse(): void;
}

/** The bodies that are offered to one process. */
export class BodyGrants {
  private readonly bodies = new Set<OfferedBody>();

  /**
   * @param getMbps - Bandwidth of the VM; settings may change it.
   * @param now - Clock, in milliseconds.
   */
  constructor(
    private readonly getMbps: () => number,
    readonly now: () => number = () => performance.now(),
  ) {}

  /** Adds a body and grants what may be sent now. */
  add(body: OfferedBody): void {
    this.bodies.add(body);
    this.grantMore();
  }

  /** Forgets a body that has arrived, or is not sent any more. */
  remove(body: OfferedBody): void {
    if (this.bodies.delete(body)) {
      this.grantMore();
    }
  }

  /** Records that a part of a body has arrived. */
  recordReceived(body: OfferedBody): void {
    body.progressAt = this.now();
    this.grantMore();
  }

  /** Time that the bodies take which have not arrived, in milliseconds. */
  getWaitingMs(): number {
    return getPacedMs(countMissing([...this.bodies]), this.getMbps());
  }

  /**
   * Estimates the time that bodies take which arrive before one that is offered now.
   * @param claim - Its claim.
   * @returns Milliseconds.
   */
  estimateAheadMs(claim: BodyClaim): number {
    const now = this.now();
    const own = createServiceClaim(claim, false, now);
    const ahead = [...this.bodies].filter(
      body => compareClaims(this.createClaim(body, now), own) <= 0,
    );
    return getPacedMs(countMissing(ahead), this.getMbps());
  }

  /** Time that a body takes alone, in milliseconds. */
  getBytesMs(bytes: number): number {
    return getPacedMs(bytes, this.getMbps());
  }

  /** Refuses bodies that have waited too long, and grants what may be sent now. */
  refresh(): void {
    const now = this.now();
    const overdue = [...this.bodies].filter(
      ({grantedBytes, offeredAt, timeoutMs}) =>
        grantedBytes === 0 && now - offeredAt > timeoutMs * MAX_WAIT_SHARE,
    );
    // All are removed first, so that none of them is granted what another leaves.
    overdue.forEach(body => this.bodies.delete(body));
    overdue.forEach(body => body.refuse());
    this.grantMore();
  }

  private grantMore(): void {
    if (this.bodies.size === 0) {
      return;
    }
    const now = this.now();
    const moving = [...this.bodies].filter(body => !isStalled(body, now));
    let awaited = moving.reduce(
      (sum, {grantedBytes, receivedBytes}) =>
        sum + grantedBytes - receivedBytes,
      0,
    );
    const inOrder = moving
      .filter(({grantedBytes, totalBytes}) => grantedBytes < totalBytes)
      .map(body => ({body, claim: this.createClaim(body, now)}))
      .sort((first, second) => compareClaims(first.claim, second.claim));
    const windowBytes = Math.max(
      MIN_WINDOW_BYTES,
      getSendBytes(WINDOW_MS, this.getMbps()),
    );
    // Several senders at a time, as one alone may be slower than this connection.
    const perBodyBytes = Math.max(MIN_GRANT_BYTES, Math.floor(windowBytes / 2));
    const leastBytes = Math.max(MIN_GRANT_BYTES, Math.floor(perBodyBytes / 4));
    for (const {body} of inOrder) {
      const {totalBytes, receivedBytes, grantedBytes} = body;
      const next = Math.min(totalBytes, receivedBytes + perBodyBytes);
      const bytes = next - grantedBytes;
      if (bytes < leastBytes && next < totalBytes) {
        continue;
      }
      if (awaited > 0 && awaited + bytes > windowBytes) {
        return;
      }
      awaited += bytes;
      body.grantedBytes = next;
      body.progressAt = now;
      body.grant(next);
    }
  }

  private createClaim(body: OfferedBody, now: number): ServiceClaim {
    const {claim, totalBytes, receivedBytes, offeredAt} = body;
    const leftMs = this.getBytesMs(totalBytes - receivedBytes);
    return createServiceClaim(claim, now + leftMs > claim.aimAt, offeredAt);
  }
}

function createServiceClaim(
  {priority, nested}: BodyClaim,
  missesAim: boolean,
  turnAt: number,
): ServiceClaim {
  return {priority, nested, missesAim, turnAt};
}

function countMissing(bodies: readonly OfferedBody[]): number {
  return bodies.reduce(
    (sum, {totalBytes, receivedBytes}) => sum + totalBytes - receivedBytes,
    0,
  );
}

/** Reports whether the sender of a body does not use what it was granted. */
function isStalled(body: OfferedBody, now: number): boolean {
  return (
    body.grantedBytes > body.receivedBytes && now - body.progressAt > STALLED_MS
  );
}
