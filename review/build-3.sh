#!/usr/bin/env bash
# The stand-ins of the cases 11 to 15 are plain Node.js and need no build. Checks that the
# file which the deploy file starts has been built, and that Node.js accepts the stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
test -f target/fireflysill_platform.cjs
for file in review/lib-3/*.mjs review/1[1-5]/*.mjs; do
  node --check "$file"
done
