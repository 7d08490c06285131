#!/usr/bin/env node
/** Runs the demo; exits with code 1 if one of its expectations fails. */
import {runDemo} from '../demo/demo.js';

const isOk = await runDemo(line => process.stdout.write(`${line}\n`));
process.exitCode = isOk ? 0 : 1;
