/** Chai with snapshot assertions, for all tests. */
import * as chai from 'chai';
import {jestSnapshotPlugin} from 'mocha-chai-jest-snapshot';

chai.use(jestSnapshotPlugin());

export const expect = chai.expect;
