#!/usr/bin/env node
/** The operators' command line. */
import {NodeHost} from '../cli/host.js';
import {runCli} from '../cli/program.js';

process.exitCode = await runCli(process.argv.slice(2), new NodeHost());
