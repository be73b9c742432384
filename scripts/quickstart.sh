#!/usr/bin/env bash
# Installs dependencies, builds, and runs the whole system once; see bench/quickstart.ts.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d node_modules ] || npm ci --no-progress
npm run --silent build
exec node dist/quickstart.cjs
