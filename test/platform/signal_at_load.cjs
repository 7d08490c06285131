/** Sends `TEST_SIGNAL` to the process when its program loads a first module. */
const Module = require('node:module');
const process = require('node:process');

const load = Module._load;
Module._load = (request, parent, isMain) => {
  if (parent?.filename === process.argv[1]) {
    Module._load = load;
    process.kill(process.pid, process.env.TEST_SIGNAL);
  }
  return load(request, parent, isMain);
};
