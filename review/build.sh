#!/bin/sh
# Checks the stand-ins of the cases. They need no build: they are plain modules for Node.js without packages.
cd "$(dirname "$0")" || exit 1
for file in support/*.mjs [1-5]/*.mjs; do
  node --check "$file" || exit 1
done
