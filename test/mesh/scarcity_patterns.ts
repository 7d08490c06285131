/**
 * The kinds of requests and the load patterns of the scarcity replay. Kinds are
 * those of the deployment Voltio; upstreams and rates are about an eighth of it.
 */
import {MeshConfig, MeshRoute} from '../../src/model/mesh.js';
import {createConfig, createRoute} from './mesh_fixture.js';

interface RequestKind {
  readonly name: string;
  readonly backends: MeshRoute['backends'];
  readonly idempotent: boolean;
  /** Mean run time without nested calls, in milliseconds. */
  readonly workMs: number;
  readonly aimMs: number;
  readonly deadlineMs: number;
  readonly priority: number;
  readonly nested?: {
    readonly kind: NestedKind;
    readonly share: number;
    readonly times: number;
  };
}

export type NestedKind = RequestKind;

/** Requests that callers send. */
export interface CallerKind extends RequestKind {
  /** At the usual load. */
  readonly perSecond: number;
  /** Of an answer within the aim, and of a later one. */
  readonly utility: number;
  readonly lateUtility: number;
}

export const UPSTREAMS = [
  {service: 'locator', count: 4, slots: 4},
  {service: 'swapdesk', count: 3, slots: 4},
  {service: 'packlog', count: 4, slots: 4},
] as const;

const SLOT_STATE: NestedKind = {
  name: 'slot-state',
  backends: [{service: 'swapdesk', weight: 1}],
  idempotent: true,
  workMs: 38,
  aimMs: 152,
  deadlineMs: 507,
  priority: 1,
};

const CELL_TELEMETRY: NestedKind = {
  name: 'cell-telemetry',
  backends: [{service: 'packlog', weight: 1}],
  idempotent: true,
  workMs: 38,
  aimMs: 152,
  deadlineMs: 507,
  priority: 1,
};

export const NESTED_KINDS: readonly NestedKind[] = [SLOT_STATE, CELL_TELEMETRY];

export const CALLER_KINDS: readonly CallerKind[] = [
  {
    name: 'pack-lookup',
    backends: [{service: 'locator', weight: 1}],
    idempotent: true,
    perSecond: 49,
    workMs: 152,
    aimMs: 503,
    deadlineMs: 1_207,
    utility: 1.4,
    lateUtility: 0.057,
    priority: 0,
    nested: {kind: SLOT_STATE, share: 0.7, times: 1},
  },
  {
    name: 'pack-release',
    backends: [
      {service: 'swapdesk', weight: 0.9},
      {service: 'locator', weight: 0.1},
    ],
    idempotent: false,
    perSecond: 18,
    workMs: 200,
    aimMs: 604,
    deadlineMs: 1_510,
    utility: 1.5,
    lateUtility: 0.15,
    priority: 1,
    nested: {kind: CELL_TELEMETRY, share: 0.7, times: 2},
  },
  {
    name: 'health-history',
    backends: [{service: 'packlog', weight: 1}],
    idempotent: true,
    perSecond: 18,
    workMs: 381,
    aimMs: 2_002,
    deadlineMs: 3_003,
    utility: 0.37,
    lateUtility: 0.056,
    priority: 2,
  },
];

export interface LoadPattern {
  readonly name: string;
  /** Run times of the fastest and the slowest upstream, relative to the mean. */
  readonly speeds: {readonly min: number; readonly max: number};
  /** Demand before the counted time; by default nearly the usual one. */
  readonly warmUpFactor?: number;
  /** Times that a caller asks at most. */
  readonly tries: number;
  /** Callers return after this time whatever is advised, in milliseconds. */
  readonly returnMs?: number;
  /** Demand as a multiple of the usual one, by kind and time. */
  getFactor(kind: string, atMs: number): number;
}

const EVEN = {min: 0.9, max: 1.1};
const UNEVEN = {min: 0.5, max: 1.5};

export const PATTERNS: readonly LoadPattern[] = [
  {
    name: 'burst of the cheap kind',
    speeds: EVEN,
    tries: 3,
    getFactor: kind => (kind === 'pack-lookup' ? 3 : 1),
  },
  {
    name: 'burst of the dear kind',
    speeds: EVEN,
    tries: 3,
    getFactor: kind => (kind === 'health-history' ? 3.5 : 1),
  },
  {name: 'burst of all', speeds: EVEN, tries: 3, getFactor: () => 2.6},
  {name: 'uneven speeds', speeds: UNEVEN, tries: 3, getFactor: () => 1.8},
  {
    name: 'uneven speeds after a restart',
    speeds: {min: 0.5, max: 2},
    warmUpFactor: 0.01,
    tries: 3,
    getFactor: () => 1.5,
  },
  {
    name: 'demand that swings',
    speeds: UNEVEN,
    tries: 3,
    getFactor: (_, atMs) => 1.6 + 1.2 * Math.sin((atMs / 4_000) * 2 * Math.PI),
  },
  {
    name: 'callers that return at once',
    speeds: EVEN,
    tries: 8,
    returnMs: 25,
    getFactor: () => 2.4,
  },
];

/** Creates the configuration with a route for each kind. */
export function createReplayConfig(): MeshConfig {
  const kinds = [...CALLER_KINDS, ...NESTED_KINDS];
  const routes = kinds.map(kind =>
    createRoute({
      name: kind.name,
      pathPrefix: `/${kind.name}/`,
      idempotent: kind.idempotent,
      timeoutMs: kind.deadlineMs,
      aimMs: kind.aimMs,
      priority: kind.priority,
      backends: kind.backends,
    }),
  );
  const services = UPSTREAMS.map(({service}) => ({
    name: service,
    connections: 120,
  }));
  return {...createConfig(1, routes), services};
}
