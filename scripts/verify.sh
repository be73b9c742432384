#!/usr/bin/env bash
# Installs, then formatter, linter, types and all tests: one verdict.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -f node_modules/.package-lock.json ] || ! cmp -s package-lock.json node_modules/.verified-lock; then
  npm ci --no-progress
  cp package-lock.json node_modules/.verified-lock
fi
npm run --silent format
npm run --silent lint -- --max-warnings 0
npm run --silent types
npm run --silent binary
npx jest --ci
