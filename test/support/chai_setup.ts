/** Chai with snapshot assertions, shared by every test file. */
import * as chai from 'chai';
import {jestSnapshotPlugin} from 'mocha-chai-jest-snapshot';

chai.use(jestSnapshotPlugin());

export const expect = chai.expect;
