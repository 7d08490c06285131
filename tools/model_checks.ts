/** The searches of `npm run model`: properties, and the mutants that break them. */

export interface ModelCheck {
  /** Name of the file below spec/, without its ending. */
  readonly spec: string;
  readonly macros: readonly string[];
  /** What the search proves, or what the mutant must break. */
  readonly properties: readonly string[];
  readonly expected: 'holds' | 'violated';
}

/** Properties by their number in the specification's CHECK macro. */
const VERSION_PROPERTIES = [
  'a proxy never goes back while it runs',
  'a proxy that met another digest stops advancing',
  'routes and upstreams in force are of one version',
  'of submissions with one base at most one is accepted',
  'proxies with one sequence hold one configuration',
] as const;

const KEY_PROPERTIES = [
  'a key runs at most once',
  'a key does not run after a caller was told that it did not',
  'no caller is told that a key did not run after it ran',
] as const;

const WITNESS_RESTART_PROPERTY = 'a restarted witness never goes back';
const OTHER_RESTART_PROPERTY =
  'a restarted proxy that is no witness never goes back';

/** Guards and the numbers of the properties that fall without them. */
const VERSION_MUTANTS: ReadonlyArray<[string, readonly number[]]> = [
  ['OLD_ACCEPTED', [1, 5]],
  ['OLD_STATE', [1]],
  ['NO_ORDER', [1, 5]],
  ['NO_STOP', [2]],
  ['HALF_SWAP', [3]],
  ['NO_BASE_CHECK', [4]],
];

const KEY_MUTANTS: ReadonlyArray<[string, readonly number[]]> = [
  ['NO_RECORD', [1, 3]],
  ['NO_RECHECK', [1, 2]],
  ['NO_FORMER_HOMES', [1, 2]],
  ['LATEST_FORMER_HOME_ONLY', [1, 2]],
  ['SILENCE_IS_NEVER_RAN', [1, 2]],
  ['RESTARTED_HOME_VOUCHES', [1, 2]],
  ['RESTARTED_HOME_HANDS_OVER', [1, 2]],
  ['HAND_OVER_BEFORE_STOP', [1, 2]],
  ['REFUSAL_LEAVES_OPEN', [2]],
  ['GIVE_UP_LEAVES_OPEN', [2]],
  ['CLOSED_IS_NEVER_RAN', [2]],
  ['GIVE_UP_SKIPS_FORMER_HOMES', [2, 3]],
  ['WRONG_HOME_IS_NOT_RUN', [2, 3]],
  ['MOVED_IS_NOT_RUN', [2, 3]],
  ['LOCAL_REFUSAL_IS_NOT_RUN', [2, 3]],
  ['BROKEN_CONNECTION_IS_NOT_RUN', [2, 3]],
];

const RESTART_CHECKS: readonly ModelCheck[] = [
  ...createSinglePropertyChecks('restart', [], WITNESS_RESTART_PROPERTY, [
    'NO_JOIN',
    'ONE_ROUND',
    'CURRENT_SET_ONLY',
    'JOIN_WITH_SOURCE_STATE',
    'MAJORITY_STARTING',
  ]),
  ...createSinglePropertyChecks(
    'restart',
    ['SUBJECT_OUTSIDE'],
    OTHER_RESTART_PROPERTY,
    [
      'ONE_ROUND',
      'STARTING_WITNESS_COUNTS',
      'LATE_COLD_REPLIES',
      'JOIN_WITH_SOURCE_STATE',
    ],
  ),
  ...['SKIPPED_SET', 'LOST_WITNESS'].map<ModelCheck>(variant => ({
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

/** One search for a specification with a single property, and its mutants. */
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

/** One search for all properties, and one for each mutant and property. */
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
