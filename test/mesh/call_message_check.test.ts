/**
 * The quick checks of the messages of calls are as strict as the schema. Guards against
 * a malformed message that reaches the core, and against valid ones that take the slow
 * path.
 */
import * as fc from 'fast-check';
import {isCallMessage} from '../../src/mesh/call_message_check.js';
import {LinkMessage, LinkMessageSchema} from '../../src/model/mesh.js';
import {LoadReport} from '../../src/model/peer.js';
import {expect} from '../support/chai_setup.js';
import {createAttempt} from './mesh_fixture.js';

const LOAD: LoadReport = {
  running: 1,
  queued: 0,
  slots: 4,
  leaving: false,
  serviceTimeMs: 12.5,
  slowness: 1.2,
  failing: 0.5,
  limitPerSecond: 7,
  limitDelayMs: 3,
  coldPerSecond: 14.6,
  coldDelayMs: 9,
  linkDelayMs: 8,
  requestDelayMs: 9,
  linkShare: 1,
  upstreamLeaving: true,
};

const HEADERS = {host: 'shop.example', 'set-cookie': ['a=1', 'b=2']};

/** Messages with each field that their schemas know. */
const MESSAGES: readonly LinkMessage[] = [
  {
    kind: 'attempt',
    attempt: {
      ...createAttempt(),
      nested: true,
      repeated: false,
      limitPerSecond: 2,
    },
    method: 'GET',
    path: '/read/1',
    headers: HEADERS,
  },
  {
    kind: 'answer',
    attemptId: 'a-1',
    status: 200,
    headers: HEADERS,
    unframed: true,
    load: LOAD,
  },
  {
    kind: 'refusal',
    attemptId: 'a-1',
    reason: 'queue_full',
    outcome: 'not-run',
    retryAfterMs: 60.5,
    reachedUpstream: false,
    load: LOAD,
  },
  {kind: 'cancel', attemptId: 'a-1'},
];

/** JSON texts of values at and beyond the limits of fields. */
const EDGE_TEXTS = [
  ...['null', 'true', '0', '-0', '1', '-1', '0.5', '1.5', '1e999', '1e300'],
  ...['9007199254740991', '9007199254740993', '[]', '{}', '[1]', '["a"]'],
  ...['""', '"a"', '"not-run"', '{"a":1}', '{"a":["b"]}', '{"a":[1]}'],
  ...['{"__proto__":"a"}', '{"__proto__":1}', '"1"', '{"a":null}'],
  ...[128, 129, 256, 257].map(length => JSON.stringify('x'.repeat(length))),
];

type Json = Record<string, unknown>;

/** Lists the paths to all fields of a message. */
function listPaths(value: unknown, prefix: readonly string[] = []): string[][] {
  if (typeof value !== 'object' || value === null) {
    return [];
  }
  return Object.entries(value).flatMap(([name, child]) => [
    [...prefix, name],
    ...listPaths(child, [...prefix, name]),
  ]);
}

/** Returns a copy with one field replaced or, without a text, removed. */
function change(
  message: unknown,
  path: readonly string[],
  text?: string,
): Json {
  const copy = JSON.parse(JSON.stringify(message)) as Json;
  const parent = path
    .slice(0, -1)
    .reduce<Json>((at, name) => at[name] as Json, copy);
  const name = path[path.length - 1];
  if (text === undefined) {
    delete parent[name];
    // JSON has no arrays with holes.
    return JSON.parse(JSON.stringify(copy)) as Json;
  }
  parent[name] = JSON.parse(text) as unknown;
  return copy;
}

/** Expects that what the quick check accepts, the schema accepts unchanged. */
function expectAsStrict(value: unknown): void {
  if (isCallMessage(value)) {
    const parsed = LinkMessageSchema.safeParse(value);
    expect(parsed.success, JSON.stringify(value)).to.equal(true);
    expect(parsed.data).to.deep.equal(value);
  }
}

describe('quick check of the messages of calls', () => {
  it('accepts valid messages, so that they need no schema', () => {
    for (const message of MESSAGES) {
      expect(LinkMessageSchema.safeParse(message).success).to.equal(true);
      expect(isCallMessage(message), message.kind).to.equal(true);
    }
  });

  it('accepts a message without each optional field, like the schema', () => {
    for (const message of MESSAGES) {
      for (const path of listPaths(message)) {
        const changed = change(message, path);
        const {success} = LinkMessageSchema.safeParse(changed);
        expect(isCallMessage(changed), path.join('.')).to.equal(success);
      }
    }
  });

  it('is as strict as the schema for each field and edge value', () => {
    for (const message of MESSAGES) {
      for (const path of listPaths(message)) {
        EDGE_TEXTS.forEach(text => expectAsStrict(change(message, path, text)));
      }
    }
  });

  it('leaves messages with unknown fields to the schema', () => {
    for (const message of MESSAGES) {
      for (const path of [[], ...listPaths(message)]) {
        for (const name of ['extra', '__proto__', 'constructor']) {
          const text = JSON.stringify(message);
          const at = path.length === 0 ? '{' : `"${path[path.length - 1]}":{`;
          const added = text.replace(at, `${at}"${name}":1,`);
          expectAsStrict(JSON.parse(added.replace(',}', '}')));
        }
      }
    }
  });

  it('is as strict as the schema for arbitrary changes of two fields', () => {
    const choice = fc.constantFrom(...MESSAGES).chain(message =>
      fc.record({
        message: fc.constant(message),
        changes: fc.array(
          fc.tuple(
            fc.constantFrom(...listPaths(message)),
            fc.oneof(fc.json(), fc.constantFrom(...EDGE_TEXTS)),
          ),
          {minLength: 1, maxLength: 2},
        ),
      }),
    );
    fc.assert(
      fc.property(choice, ({message, changes}) => {
        const [[path, text], second] = changes;
        const once = change(message, path, text);
        expectAsStrict(once);
        if (second !== undefined && second[0].length === 1) {
          expectAsStrict(change(once, second[0], second[1]));
        }
      }),
      {numRuns: 1_000, seed: 7},
    );
  });
});
