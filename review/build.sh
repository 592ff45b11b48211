#!/bin/sh
# The stand-ins are plain modules for Node.js, so there is nothing to compile; this checks their
# syntax.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do node --check "$file"; done
