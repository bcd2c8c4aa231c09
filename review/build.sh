#!/usr/bin/env bash
# Bundles the project's stand-ins, which the scripts of the cases start, into target/review/.
set -eu
cd "$(dirname "$0")/.."
npx esbuild review/common/standins.mjs --bundle --platform=node --target=node20 \
  --format=esm --log-level=warning --outfile=target/review/standins.mjs
