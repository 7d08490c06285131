/** State of one proxy in a fleet of self-registering upstreams. */
import {Instance, MeshConfig} from '../../model/mesh.js';
import {LoadView} from '../entry/load_view.js';
import {CrashSuspects, createCrashSuspects} from '../owner/crash_suspects.js';
import {FleetView, createFleetView, findInstanceAt} from './fleet_view.js';
import {MeshCall} from './mesh_calls.js';
import {MeshSettings} from './mesh_settings.js';
import {RetryTokens} from './retry_tokens.js';
import {MeshRouteTable} from './route_table.js';
import {RunEstimates, createRunEstimates} from './run_estimates.js';
import {SourceReadState, createSourceReadState} from './source_read_state.js';
import {UpstreamHealth, createUpstreamHealth} from './upstream_health.js';
import {WorkQueue, createWorkQueue} from './work_queue.js';

/** What a proxy said of itself when its link opened. */
export interface Peer {
  readonly zone: string;
  readonly incarnation: number;
  leaving: boolean;
}

export interface MeshState {
  settings: MeshSettings;
  config?: MeshConfig;
  routeTable?: MeshRouteTable;
  readonly fleet: FleetView;
  readonly sourceReads: SourceReadState;
  /** Peers with an open link, by address. */
  readonly peers: Map<string, Peer>;
  readonly calls: Map<string, MeshCall>;
  readonly callByAttempt: Map<string, MeshCall>;
  readonly loads: LoadView;
  readonly retries: RetryTokens;
  /** Time to answer by route, for the calls that began here. */
  readonly answerMsByRoute: Map<string, number>;
  /** Bytes of request and answer by route, for the same calls. */
  readonly callBytesByRoute: Map<string, number>;
  readonly work: WorkQueue;
  readonly estimates: RunEstimates;
  readonly health: UpstreamHealth;
  readonly suspects: CrashSuspects;
  /** When missing links to neighbours are opened next. */
  nextLinkOpenAt: number;
  stopRequestedAt?: number;
  /** Peers were told that no new work is taken here. */
  leaving: boolean;
  lastWorkAt: number;
  stopped: boolean;
}

export function createMeshState(settings: MeshSettings): MeshState {
  return {
    settings,
    fleet: createFleetView(),
    sourceReads: createSourceReadState(),
    peers: new Map(),
    calls: new Map(),
    callByAttempt: new Map(),
    loads: new Map(),
    retries: new Map(),
    answerMsByRoute: new Map(),
    callBytesByRoute: new Map(),
    work: createWorkQueue(),
    estimates: createRunEstimates(),
    health: createUpstreamHealth(),
    suspects: createCrashSuspects(),
    nextLinkOpenAt: 0,
    leaving: false,
    lastWorkAt: 0,
    stopped: false,
  };
}

/** Finds the upstream beside this proxy, as it is registered. */
export function getOwnInstance(state: MeshState): Instance | undefined {
  return findInstanceAt(state.fleet, state.settings.upstreamAddress);
}

/**
 * Gets the address of the proxy beside an upstream: all proxies take links on
 * the same port.
 * @param state - This proxy's state.
 * @param instance - The upstream.
 * @returns `IP:port`.
 */
export function getLinkAddress(state: MeshState, instance: Instance): string {
  const {address} = instance;
  const host = address.slice(0, address.lastIndexOf(':'));
  return `${host}:${state.settings.linkPort}`;
}

export function isReady(state: MeshState): boolean {
  return (
    state.config !== undefined &&
    state.fleet.revision > 0 &&
    state.stopRequestedAt === undefined
  );
}
