#!/usr/bin/env bash
# Checks the stand-ins of review/support-3 and the scripts that use them. They are plain modules of Node.js and need no
# build.
set -eu
cd "$(dirname "$0")"
for file in support-3/*.mjs 1[1-5]/*.mjs; do node --check "$file"; done
