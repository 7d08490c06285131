/** State of the core of a proxy whose upstreams register themselves. */
import {Instance, MeshConfig} from '../../model/mesh.js';
import {LoadView} from '../entry/load_view.js';
import {CrashSuspects, createCrashSuspects} from '../owner/crash_suspects.js';
import {CallerBudgets} from './caller_budgets.js';
import {ConfigFreshness, createConfigFreshness} from './config_freshness.js';
import {ConfigHistory} from './config_history.js';
import {PollingState, createPollingState} from './config_polling.js';
import {
  FleetView,
  createFleetView,
  findInstanceAt,
  isLeaving,
} from './fleet_view.js';
import {LinkBacklog, createLinkBacklog} from './link_backlog.js';
import {LinkLoad, createLinkLoad} from './link_load.js';
import {MeshCall} from './mesh_calls.js';
import {MeshSettings} from './mesh_settings.js';
import {PreferredInstances} from './preferred_instances.js';
import {ProxyDirectory} from './proxy_directory.js';
import {RetryTokens} from './retry_tokens.js';
import {MeshRouteTable} from './route_table.js';
import {RunEstimates, createRunEstimates} from './run_estimates.js';
import {SourceReadState, createSourceReadState} from './source_read_state.js';
import {UpstreamHealth, createUpstreamHealth} from './upstream_health.js';
import {RepairState} from './update_repair.js';
import {WorkQueue, createWorkQueue} from './work_queue.js';

/** What a peer reported in its `hello` message. */
export interface Peer {
  readonly zone: string;
  readonly incarnation: number;
  /** Bandwidth of its VM's connection to the network. */
  readonly linkMbps: number;
  /** Its upstream is to receive no new work because the peer is stopping. */
  leaving: boolean;
  /** It refuses whatever arrives, and its process ends. */
  stopped?: boolean;
}

/** Reports whether a peer neither stops nor has stopped. */
export function isRunning({leaving, stopped}: Peer): boolean {
  return !leaving && stopped !== true;
}

export interface MeshState {
  settings: MeshSettings;
  /** The adopted configuration; undefined until the first one is known. */
  config?: MeshConfig;
  routeTable?: MeshRouteTable;
  readonly configFreshness: ConfigFreshness;
  /** How the version in force followed from those before. */
  readonly configHistory: ConfigHistory;
  readonly polling: PollingState;
  readonly repair: RepairState;
  readonly fleet: FleetView;
  /** Created on demand from `fleet`. */
  directory?: ProxyDirectory;
  /** Created on demand from `fleet`, by service. */
  readonly preferred: Map<string, PreferredInstances>;
  readonly sourceReads: SourceReadState;
  /** Peers with an open link, by address. */
  readonly peers: Map<string, Peer>;
  /** Unanswered calls, by call identifier. */
  readonly calls: Map<string, MeshCall>;
  readonly callByAttempt: Map<string, MeshCall>;
  /** Load of each upstream as this entry knows it, by instance. */
  readonly loads: LoadView;
  readonly retries: RetryTokens;
  readonly callerBudgets: CallerBudgets;
  /** Moving average of the time to an answer, for the calls of this entry. */
  readonly answerMsByRoute: Map<string, number>;
  /** Moving average of the bytes of an answer, for the same calls. */
  readonly answerBytesByRoute: Map<string, number>;
  /** Attempts that wait or run at the upstream beside this proxy. */
  readonly work: WorkQueue;
  readonly linkLoad: LinkLoad;
  readonly linkBacklog: LinkBacklog;
  readonly estimates: RunEstimates;
  readonly health: UpstreamHealth;
  readonly suspects: CrashSuspects;
  /** Link addresses that were computed; each call looks up many of them. */
  readonly linkAddresses: WeakMap<Instance, string>;
  /** Proxies to which a link was opened in advance, by link address. */
  readonly preparedLinks: Set<string>;
  /** Earliest time at which missing links to neighbours are opened again. */
  nextLinkOpenAt: number;
  stopRequestedAt?: number;
  /** `leaving` has been sent: peers send no new work here. */
  leaving: boolean;
  /** When a call or an attempt last arrived or ended; a stop waits for quiet. */
  lastWorkAt: number;
  /** A planned stop is over: whatever arrives now is refused. */
  stopped: boolean;
}

export function createMeshState(settings: MeshSettings): MeshState {
  return {
    settings,
    configFreshness: createConfigFreshness(),
    configHistory: [],
    polling: createPollingState(),
    repair: {pulledAt: -Infinity, nextAt: 0, asked: 0},
    fleet: createFleetView(),
    preferred: new Map(),
    sourceReads: createSourceReadState(),
    peers: new Map(),
    calls: new Map(),
    callByAttempt: new Map(),
    loads: new Map(),
    retries: new Map(),
    callerBudgets: new Map(),
    answerMsByRoute: new Map(),
    answerBytesByRoute: new Map(),
    work: createWorkQueue(settings.scarceSlots),
    linkLoad: createLinkLoad(),
    linkBacklog: createLinkBacklog(),
    estimates: createRunEstimates(),
    health: createUpstreamHealth(),
    suspects: createCrashSuspects(),
    linkAddresses: new WeakMap(),
    preparedLinks: new Set(),
    nextLinkOpenAt: 0,
    leaving: false,
    lastWorkAt: 0,
    stopped: false,
  };
}

/** Gets the registered instance at the address of this proxy's upstream. */
export function getOwnInstance(state: MeshState): Instance | undefined {
  return findInstanceAt(state.fleet, state.settings.upstreamAddress);
}

/** Reports whether this proxy's upstream drains or has reported that it leaves. */
export function isUpstreamLeaving(state: MeshState): boolean {
  const own = getOwnInstance(state);
  return (
    own !== undefined &&
    (own.state === 'draining' || isLeaving(state.fleet, own))
  );
}

/**
 * Gets the link address of the proxy beside an upstream. All proxies listen
 * for links on the same port.
 * @param state - This proxy's state.
 * @param instance - The upstream.
 * @returns `IP:port`.
 */
export function getLinkAddress(state: MeshState, instance: Instance): string {
  let link = state.linkAddresses.get(instance);
  if (link === undefined) {
    const {address} = instance;
    const host = address.slice(0, address.lastIndexOf(':'));
    link = `${host}:${state.settings.linkPort}`;
    state.linkAddresses.set(instance, link);
  }
  return link;
}

/**
 * Reports whether this proxy can serve callers: it has a configuration and the
 * fleet, and no stop was requested.
 */
export function isReady(state: MeshState): boolean {
  return (
    state.config !== undefined &&
    state.fleet.revision > 0 &&
    state.stopRequestedAt === undefined
  );
}
