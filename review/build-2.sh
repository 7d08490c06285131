#!/bin/sh
# Prepares the stand-ins of the cases 6 to 10. They are plain JavaScript modules of this
# folder and use no other stand-in of the project, so nothing is compiled; this checks
# that each of them can be read by the installed Node.
set -eu
cd "$(dirname "$0")"
for file in lib-2/*.mjs [0-9]*/case.mjs; do
  node --check "$file"
done
echo "review/build-2.sh: ok"
