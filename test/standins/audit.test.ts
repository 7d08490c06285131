import {auditRecords} from '../../src/standins/harness/audit.js';
import {CallResult} from '../../src/standins/harness/caller.js';
import {LoadRecord} from '../../src/standins/harness/load_generator.js';
import {JournalEntry} from '../../src/standins/upstream/journal.js';
import {expect} from '../support/chai_setup.js';

function createRecord(path: string, result: CallResult): LoadRecord {
  const call = {method: 'POST', path};
  return {call, proxyId: 'billing-1', result, unreached: 0};
}

function createEntry(
  path: string,
  rest: Partial<JournalEntry> = {finishedAt: 2},
): JournalEntry {
  return {
    entry: 1,
    upstreamId: 'billing-1',
    method: 'POST',
    path,
    startedAt: 1,
    ...rest,
  };
}

function createAnswer(path: string): CallResult {
  const body = {
    upstream: 'billing-1',
    entry: 1,
    method: 'POST',
    path,
    bodyBytes: 0,
    bodySha256: '',
    padding: '',
  };
  return {kind: 'answered', status: 200, body};
}

const NOT_RUN: CallResult = {
  kind: 'refused',
  outcome: 'not-run',
  reason: 'queue_full',
  status: 503,
  retryAfterSeconds: undefined,
};

describe('audit of call results', () => {
  it('finds every kind of violation', () => {
    const records = [
      createRecord('/fine', createAnswer('/fine')),
      createRecord('/twice', createAnswer('/twice')),
      createRecord('/ran', NOT_RUN),
      createRecord('/crashed', NOT_RUN),
      createRecord('/stopped', NOT_RUN),
      createRecord('/never', createAnswer('/never')),
      createRecord('/mine', createAnswer('/theirs')),
      createRecord('/bare', {kind: 'foreign', status: 200, body: ''}),
    ];
    const journal = [
      createEntry('/fine'),
      createEntry('/twice'),
      createEntry('/twice', {}),
      createEntry('/ran'),
      createEntry('/crashed', {}),
      createEntry('/stopped', {cancelled: 'client'}),
      createEntry('/mine'),
    ];
    expect(auditRecords(records, journal)).toMatchSnapshot();
  });
});
