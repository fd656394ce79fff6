#!/bin/sh
# Checks the stand-ins of review/lib-3 and the cases 11 to 15, which are plain
# JavaScript and need no build step. Run after the build of the deploy file.
set -e
cd "$(dirname "$0")"
test -f ../target/bronzemill.mjs
for file in lib-3/*.mjs 1[1-5]/case.mjs; do
  node --check "$file"
done
