/** Opens, accepts and looks up the links of one proxy. */
import {Server, Socket, connect, createServer} from 'node:net';
import {Hello, LinkMessage} from '../model/mesh.js';
import {parseAddress} from '../proxy/addresses.js';
import {MemoryBudget} from '../proxy/memory_budget.js';
import {MemoryHold} from '../proxy/memory_hold.js';
import {BodyGrants} from './body_grants.js';
import {BodyPacer} from './body_pacer.js';
import {MessageCodec} from './message_codec.js';
import {Link, LinkHandlers, LinkTraffic} from './link.js';
import {ReadDelays} from './turn_clock.js';

/** Time within which a peer must accept a link and send its `hello`. */
const OPEN_TIMEOUT_MS = 600;

/**
 * Least interval of the liveness checks on all links. They are made with ticks, which
 * are at most 120 ms apart, so that they need no timer of their own.
 */
const CHECK_INTERVAL_MS = 80;

/** Bytes to be sent on all links above which the one with the most is closed. */
const MAX_UNSENT_BYTES = 16 * 1_048_576;

export interface LinkManagerHandlers extends Pick<
  LinkHandlers,
  'onMessage' | 'onBodyRefused' | 'onBodyOffered' | 'onBadFrame'
> {
  /** Creates the first message on each link, which identifies this proxy. */
  createHello(): Hello;
  onClose(address: string, link: Link): void;
  /** A peer has told until when it has read its callers' sockets. */
  onConfirmed(): void;
}

/** Keeps at most one preferred link per peer address. */
export class LinkManager {
  readonly traffic: LinkTraffic = {sentBytes: 0, receivedBytes: 0};
  private readonly linksByAddress = new Map<string, Link>();
  private readonly openingByAddress = new Map<
    string,
    Promise<Link | undefined>
  >();
  private readonly allLinks = new Set<Link>();
  /** Callbacks of outgoing links on which no `hello` has arrived. */
  private readonly pendingOpens = new Map<
    Link,
    (link: Link | undefined) => void
  >();
  private server?: Server;
  private closed = false;
  private checkedAt = -Infinity;
  private readonly unsent: MemoryHold;
  private readonly linkHandlers: LinkHandlers;

  constructor(
    private readonly handlers: LinkManagerHandlers,
    private readonly codec: MessageCodec,
    private readonly now: () => number,
    private readonly pacer: BodyPacer,
    private readonly delays: ReadDelays,
    private readonly budget: MemoryBudget,
    private readonly grants: BodyGrants,
  ) {
    this.unsent = new MemoryHold(budget);
    this.linkHandlers = {
      onMessage: (link, message, body, ageMs) =>
        this.handleMessage(link, message, body, ageMs),
      onBodyRefused: (link, message, reason) =>
        handlers.onBodyRefused(link, message, reason),
      onBodyOffered: (link, message, ageMs, arrival) =>
        handlers.onBodyOffered(link, message, ageMs, arrival),
      onConfirmed: () => handlers.onConfirmed(),
      onClose: link => this.handleClose(link),
      onBadFrame: detail => handlers.onBadFrame(detail),
    };
  }

  /**
   * Starts to accept links.
   * @param address - The local address to listen on.
   */
  async listen(address: string): Promise<void> {
    const {host, port} = parseAddress(address);
    this.server = createServer(socket => this.accept(socket));
    const {server} = this;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
  }

  /** Checks whether the peers respond, unless this was done shortly before. */
  checkIfDue(): void {
    const now = this.now();
    if (now - this.checkedAt >= CHECK_INTERVAL_MS) {
      this.checkedAt = now;
      this.allLinks.forEach(link => link.checkAlive(now));
      this.countUnsent();
      this.grants.refresh();
    }
  }

  /** Counts the bytes that were written and the operating system has not taken yet. */
  countUnsentBytes(): number {
    return [...this.allLinks].reduce((sum, link) => sum + link.unsentBytes, 0);
  }

  /** Counts what is to be sent, and closes the slowest link if that is too much. */
  private countUnsent(): void {
    const links = [...this.allLinks];
    const total = this.countUnsentBytes();
    this.unsent.release();
    this.unsent.add(total);
    if (total > MAX_UNSENT_BYTES) {
      links.sort((first, second) => second.unsentBytes - first.unsentBytes);
      links[0].close();
    }
  }

  /** The port that this proxy listens on; 0 before {@link listen}. */
  get port(): number {
    const address = this.server?.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  /** Returns the link to a peer, if one is open. */
  find(address: string): Link | undefined {
    return this.linksByAddress.get(address);
  }

  /**
   * Returns the link to a peer, and opens one if there is none.
   * @param address - The peer's link address.
   * @returns The link, once the peer's `hello` has arrived; undefined if the
   *     peer cannot be reached in time.
   */
  open(address: string): Promise<Link | undefined> {
    const link = this.linksByAddress.get(address);
    if (link !== undefined || this.closed) {
      return Promise.resolve(link);
    }
    let opening = this.openingByAddress.get(address);
    if (opening === undefined) {
      opening = this.dial(address).finally(() =>
        this.openingByAddress.delete(address),
      );
      this.openingByAddress.set(address, opening);
    }
    return opening;
  }

  /** Stops listening and ends all links; resolves once they are closed. */
  async close(): Promise<void> {
    this.closed = true;
    this.server?.close();
    await Promise.all([...this.allLinks].map(link => link.end()));
  }

  private dial(address: string): Promise<Link | undefined> {
    const {host, port} = parseAddress(address);
    const link = this.addLink(connect({host, port}));
    link.markDialed();
    return new Promise(resolve => {
      const timer = setTimeout(() => link.close(), OPEN_TIMEOUT_MS);
      this.pendingOpens.set(link, opened => {
        clearTimeout(timer);
        resolve(opened);
      });
    });
  }

  /** Adds a link that a peer opens, and asks for what bounds its messages' age. */
  private accept(socket: Socket): void {
    socket.cork();
    this.addLink(socket).askForCallers();
    socket.uncork();
  }

  private addLink(socket: Socket): Link {
    const link = new Link(
      socket,
      this.linkHandlers,
      this.codec,
      this.traffic,
      this.now,
      this.pacer,
      this.delays,
      this.budget,
      this.grants,
    );
    this.allLinks.add(link);
    link.send(this.handlers.createHello());
    return link;
  }

  private handleMessage(
    link: Link,
    message: LinkMessage,
    body: Uint8Array,
    ageMs: number,
  ): void {
    if (message.kind === 'hello' && link.peer === undefined) {
      const {address, incarnation} = message;
      link.peer = {address, incarnation};
      link.compressesCalls = message.zone !== this.handlers.createHello().zone;
      // Two peers may open links to each other at the same time. Both work; the
      // one whose `hello` arrives last is used for sending.
      this.linksByAddress.set(address, link);
    }
    this.handlers.onMessage(link, message, body, ageMs);
    if (message.kind === 'hello') {
      this.pendingOpens.get(link)?.(link);
      this.pendingOpens.delete(link);
    }
  }

  private handleClose(link: Link): void {
    this.allLinks.delete(link);
    this.pendingOpens.get(link)?.(undefined);
    this.pendingOpens.delete(link);
    const address = link.peer?.address;
    if (address === undefined) {
      return;
    }
    if (this.linksByAddress.get(address) === link) {
      const other = [...this.allLinks].find(l => l.peer?.address === address);
      if (other === undefined) {
        this.linksByAddress.delete(address);
      } else {
        this.linksByAddress.set(address, other);
      }
    }
    this.handlers.onClose(address, link);
  }
}
