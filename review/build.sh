#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are plain modules without dependencies,
# so that this only checks their syntax.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
  node --check "$file"
done
