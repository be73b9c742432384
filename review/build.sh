#!/usr/bin/env bash
# The stand-ins are plain JavaScript modules: nothing is to be built, only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
  node --check "$file"
done
