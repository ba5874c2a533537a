#!/bin/sh
# Builds the stand-ins of the cases 4 to 8 after the build of the deploy file. They are plain modules
# for Node without dependencies, so this only checks that they can be read, and that the program is there.
cd "$(dirname "$0")/.." || exit 2
[ -f target/wardwing.mjs ] || { echo 'target/wardwing.mjs is missing: run the build of deploy/system.toml' >&2; exit 2; }
for file in review/lib-2/*.mjs review/[4-8]/case.mjs; do
  [ ! -f "$file" ] || node --check "$file" || exit 2
done
