#!/bin/sh
# Puts one file with the daemon and all its libraries under target/, and its compiled code beside
# it: a process then starts four times as fast as with hundreds of modules. Another folder may be
# given.
set -eu
folder=${1:-target}
[ node_modules -nt package-lock.json ] || npm ci --silent
bundle() {
  npx esbuild "$1" --bundle --platform=node --format="$2" --target=node20 \
    --minify-whitespace --minify-syntax --log-level=warning --outfile="$folder/$3"
}
bundle platform/startCached.ts esm start.mjs
bundle platform/main.ts cjs pistachiohoist.cjs
# The daemon refuses to start without settings, once everything is loaded; other ends are faults.
env -u PISTACHIOHOIST_BOOT node --max-old-space-size=160 "$folder/start.mjs" --write-cache \
  2>/dev/null || [ $? -eq 2 ]
