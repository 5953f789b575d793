#!/bin/bash
# The stand-ins and the scripts are plain JavaScript modules that need no build: they are checked.
cd "$(dirname "$0")" || exit 1
for file in standins/*.mjs [0-9]*/*.mjs; do
  node --check "$file" || exit 1
done
