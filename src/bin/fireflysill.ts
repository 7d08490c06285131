#!/usr/bin/env node
/** Entry point of the command line for operators. */
import {NodeHost} from '../cli/host.js';
import {runCli} from '../cli/program.js';

process.exitCode = await runCli(process.argv.slice(2), new NodeHost());
