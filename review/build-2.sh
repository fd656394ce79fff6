#!/bin/sh
# The stand-ins of cases 6 to 10 are plain modules of Node.js. This checks that
# they can be read; the daemon is built by the line `build` of the deploy file.
set -eu
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs review/6/run.mjs review/7/run.mjs \
  review/8/run.mjs review/9/run.mjs review/10/run.mjs; do
  node --check "$file"
done
