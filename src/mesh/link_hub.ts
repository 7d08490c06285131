/** The links of one proxy, by the address of the peer. */
import {Server, Socket, connect, createServer} from 'node:net';
import {Hello, LinkMessage} from '../model/mesh.js';
import {parseAddress} from '../proxy/addresses.js';
import {MessageCodec} from './message_codec.js';
import {Link, LinkHandlers, LinkTraffic} from './link.js';

/** Time in which a peer must accept a link and name itself. */
const OPEN_TIMEOUT_MS = 600;

/** Interval at which silent links are looked for. */
const CHECK_INTERVAL_MS = 100;

export interface HubHandlers {
  /** Says who this proxy is; the first message on each link. */
  createHello(): Hello;
  onClose(address: string, link: Link): void;
  onMessage(link: Link, message: LinkMessage, body: Uint8Array): void;
  onBadFrame(detail: string): void;
}

export class LinkHub {
  readonly traffic: LinkTraffic = {sentBytes: 0, receivedBytes: 0};
  private readonly links = new Map<string, Link>();
  private readonly opening = new Map<string, Promise<Link | undefined>>();
  private readonly all = new Set<Link>();
  private readonly waiting = new Map<Link, (link: Link | undefined) => void>();
  private server?: Server;
  private closed = false;
  private timer?: NodeJS.Timeout;
  private readonly handlers: LinkHandlers;

  constructor(
    private readonly hub: HubHandlers,
    private readonly codec: MessageCodec,
    private readonly now: () => number,
  ) {
    this.handlers = {
      onMessage: (link, message, body) => this.take(link, message, body),
      onClose: link => this.forget(link),
      onBadFrame: detail => hub.onBadFrame(detail),
    };
  }

  /**
   * Starts taking links.
   * @param address - Where to listen.
   */
  async listen(address: string): Promise<void> {
    const {host, port} = parseAddress(address);
    this.server = createServer(socket => this.adopt(socket));
    const {server} = this;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
    this.timer = setInterval(() => {
      this.all.forEach(link => link.checkAlive());
    }, CHECK_INTERVAL_MS);
  }

  /** Port on which it listens. */
  get port(): number {
    const address = this.server?.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  /** Finds an open link without opening one. */
  find(address: string): Link | undefined {
    return this.links.get(address);
  }

  /**
   * Gets a link, opening one where there is none.
   * @param address - The peer.
   * @returns The link, once the peer has named itself; undefined where it
   *     cannot be reached.
   */
  open(address: string): Promise<Link | undefined> {
    const link = this.links.get(address);
    if (link !== undefined || this.closed) {
      return Promise.resolve(link);
    }
    let opening = this.opening.get(address);
    if (opening === undefined) {
      opening = this.dial(address).finally(() => this.opening.delete(address));
      this.opening.set(address, opening);
    }
    return opening;
  }

  /** Closes all links and stops listening. */
  close(): void {
    this.closed = true;
    clearInterval(this.timer);
    this.server?.close();
    this.all.forEach(link => link.close());
  }

  private dial(address: string): Promise<Link | undefined> {
    const {host, port} = parseAddress(address);
    const link = this.adopt(connect({host, port}));
    return new Promise(resolve => {
      const timer = setTimeout(() => link.close(), OPEN_TIMEOUT_MS);
      this.waiting.set(link, opened => {
        clearTimeout(timer);
        resolve(opened);
      });
    });
  }

  private adopt(socket: Socket): Link {
    const link = new Link(
      socket,
      this.handlers,
      this.codec,
      this.traffic,
      this.now,
    );
    this.all.add(link);
    link.send(this.hub.createHello());
    return link;
  }

  private take(link: Link, message: LinkMessage, body: Uint8Array): void {
    if (message.kind === 'hello' && link.peer === undefined) {
      const {address, incarnation} = message;
      link.peer = {address, incarnation};
      link.compresses = message.zone !== this.hub.createHello().zone;
      // Of two links that crossed, both work; the later one is used.
      this.links.set(address, link);
    }
    this.hub.onMessage(link, message, body);
    if (message.kind === 'hello') {
      this.waiting.get(link)?.(link);
      this.waiting.delete(link);
    }
  }

  private forget(link: Link): void {
    this.all.delete(link);
    this.waiting.get(link)?.(undefined);
    this.waiting.delete(link);
    const address = link.peer?.address;
    if (address === undefined) {
      return;
    }
    if (this.links.get(address) === link) {
      const other = [...this.all].find(l => l.peer?.address === address);
      if (other === undefined) {
        this.links.delete(address);
      } else {
        this.links.set(address, other);
      }
    }
    this.hub.onClose(address, link);
  }
}
