#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: Python sources of the standard library.
# The scripts need nothing else but target/deps, the build of the deploy file.
set -eu
cd "$(dirname "$0")"
for folder in stand_ins_2 6 7 8 9 10; do
    [ -d "$folder" ] || continue
    PYTHONPYCACHEPREFIX=../target/review-cache python3 -m compileall -q "$folder"
done
