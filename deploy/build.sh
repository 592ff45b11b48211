#!/bin/sh
# Puts one file with the daemon and all its libraries under target/, which starts twice as fast as
# hundreds of modules.
set -eu
[ node_modules -nt package-lock.json ] || npm ci --silent
npx esbuild platform/main.ts --bundle --platform=node --format=esm --target=node20 \
  --minify-whitespace --minify-syntax --log-level=warning --outfile=target/pistachiohoist.mjs \
  --banner:js="import{createRequire}from'node:module';const require=createRequire(import.meta.url);"
