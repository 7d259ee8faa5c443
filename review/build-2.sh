#!/bin/sh
# Bundles the cases of the second review with their stand-ins, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/[4-8]/case.mjs; do
  number=$(basename "$(dirname "$case")")
  npx --no-install esbuild "$case" --bundle --platform=node --format=esm --target=node20 --packages=external \
    --outfile="target/review-2/$number.mjs" --log-level=warning
done
