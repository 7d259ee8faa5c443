#!/bin/sh
# The stand-ins are plain modules that need no build step; this checks that each of them can be read.
cd "$(dirname "$0")" || exit 2
for file in lib/*.mjs [1-9]/*.mjs; do
  node --check "$file" || exit 1
done
