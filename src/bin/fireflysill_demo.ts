#!/usr/bin/env node
/** Runs the demo; exit code 1 where an expectation was broken. */
import {runDemo} from '../demo/demo.js';

const isOk = await runDemo(line => process.stdout.write(`${line}\n`));
process.exitCode = isOk ? 0 : 1;
