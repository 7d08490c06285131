/**
 * Defines the searches of `npm run model`: the properties of each specification,
 * and the mutants that must violate them.
 */

/** One exhaustive search of a specification. */
export interface ModelCheck {
  /** Name of the file in spec/, without the extension. */
  readonly spec: string;
  /** Macros to define, which select a variant or a mutant. */
  readonly macros: readonly string[];
  /** Properties that must hold, or the one that the mutant must violate. */
  readonly properties: readonly string[];
  readonly expected: 'holds' | 'violated';
}

/** Properties in the order of their numbers in the CHECK macro, from 1. */
const VERSION_PROPERTIES = [
  'the version of a running proxy never decreases',
  'a proxy that found a digest mismatch does not advance',
  'routes and upstreams in force have the same version',
  'at most one of the submissions with the same base is accepted',
  'proxies with the same sequence have the same configuration',
] as const;

const KEY_PROPERTIES = [
  'a request with an idempotency key runs at most once',
  'a request never runs after it was reported as not run',
  'a request is never reported as not run after it ran',
] as const;

const WITNESS_RESTART_PROPERTY =
  'a restarted witness never adopts an older sequence';
const OTHER_RESTART_PROPERTY =
  'a restarted proxy that is no witness never adopts an older sequence';

/** Mutants, each with the numbers of the properties that it must violate. */
const VERSION_MUTANTS: ReadonlyArray<[string, readonly number[]]> = [
  ['REFOLD_OLD_SUBMISSIONS', [1, 5]],
  ['ADOPT_OLDER_STATE', [1]],
  ['SKIP_SUBMISSIONS', [1, 5]],
  ['NO_HALT_ON_MISMATCH', [2]],
  ['NON_ATOMIC_SWAP', [3]],
  ['NO_BASE_CHECK', [4]],
];

const KEY_MUTANTS: ReadonlyArray<[string, readonly number[]]> = [
  ['IGNORE_FINISHED_RECORD', [1, 3]],
  ['DISPATCH_WITHOUT_RECHECK', [1, 2]],
  ['ASK_NO_FORMER_HOLDER', [1, 2]],
  ['ASK_LATEST_FORMER_HOLDER_ONLY', [1, 2]],
  ['TIMEOUT_COUNTS_AS_NEVER_RAN', [1, 2]],
  ['RESTARTED_HOLDER_CONFIRMS_NEVER_RAN', [1, 2]],
  ['RESTARTED_HOLDER_HANDS_OVER_NEVER_RAN', [1, 2]],
  ['HAND_OVER_BEFORE_STOP', [1, 2]],
  ['REFUSAL_DOES_NOT_CLOSE', [2]],
  ['GIVE_UP_DOES_NOT_CLOSE', [2]],
  ['CLOSED_COUNTS_AS_NEVER_RAN', [2]],
  ['GIVE_UP_SKIPS_FORMER_HOLDERS', [2, 3]],
  ['WRONG_HOLDER_REPORTS_NOT_RUN', [2, 3]],
  ['MOVED_COUNTS_AS_NOT_RUN', [2, 3]],
  ['LOCAL_REFUSAL_REPORTS_NOT_RUN', [2, 3]],
  ['BROKEN_CONNECTION_COUNTS_AS_NOT_RUN', [2, 3]],
];

const RESTART_CHECKS: readonly ModelCheck[] = [
  ...createSinglePropertyChecks('restart', [], WITNESS_RESTART_PROPERTY, [
    'JOIN_WITHOUT_WITNESSES',
    'ANNOUNCE_IN_ONE_ROUND',
    'ANNOUNCE_TO_CURRENT_SET_ONLY',
    'JOIN_WITH_SOURCE_STATE',
    'MAJORITY_MAY_RESTART',
  ]),
  ...createSinglePropertyChecks(
    'restart',
    ['CHECKED_PROXY_IS_NO_WITNESS'],
    OTHER_RESTART_PROPERTY,
    [
      'ANNOUNCE_IN_ONE_ROUND',
      'STARTING_WITNESS_COUNTS',
      'LATE_STARTING_REPLIES',
      'JOIN_WITH_SOURCE_STATE',
    ],
  ),
  ...['SKIPPED_WITNESS_SET', 'RESTARTED_WITNESS'].map<ModelCheck>(variant => ({
    spec: 'restart_per_proxy',
    macros: [variant],
    properties: [OTHER_RESTART_PROPERTY],
    expected: 'violated',
  })),
];

export const MODEL_CHECKS: readonly ModelCheck[] = [
  ...RESTART_CHECKS,
  ...createMultiPropertyChecks('versions', VERSION_PROPERTIES, VERSION_MUTANTS),
  ...createMultiPropertyChecks('keys', KEY_PROPERTIES, KEY_MUTANTS),
];

/**
 * Creates the search for the only property of a specification, and its mutants.
 */
function createSinglePropertyChecks(
  spec: string,
  variant: readonly string[],
  property: string,
  mutants: readonly string[],
): ModelCheck[] {
  const properties = [property];
  const mutantChecks = mutants.map<ModelCheck>(mutant => ({
    spec,
    macros: [`MUTANT_${mutant}`, ...variant],
    properties,
    expected: 'violated',
  }));
  return [
    {spec, macros: variant, properties, expected: 'holds'},
    ...mutantChecks,
  ];
}

/**
 * Creates one search for all properties, and one for each mutant and property.
 */
function createMultiPropertyChecks(
  spec: string,
  properties: readonly string[],
  mutants: ReadonlyArray<[string, readonly number[]]>,
): ModelCheck[] {
  const mutantChecks = mutants.flatMap(([mutant, propertyNumbers]) =>
    propertyNumbers.map<ModelCheck>(number => ({
      spec,
      macros: [`MUTANT_${mutant}`, `ONLY=${number}`],
      properties: [properties[number - 1]],
      expected: 'violated',
    })),
  );
  return [{spec, macros: [], properties, expected: 'holds'}, ...mutantChecks];
}
