#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript for Node.js 20 without dependencies, so
# nothing has to be compiled. The proxies that they start are the bundle that the build
# of the deploy file leaves under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -f target/fireflysill_platform.cjs ]; then
  echo 'target/fireflysill_platform.cjs is missing; run the build of deploy/system.toml' >&2
  exit 1
fi
for file in review/lib/*.mjs review/*/run.mjs; do
  node --check "$file"
done
