#!/bin/sh
# Builds the stand-ins that the scripts start: Python sources of the standard library.
# The scripts import them from review/stand_ins; nothing of the project's own is needed
# but target/deps, the build of the deploy file.
set -eu
cd "$(dirname "$0")"
PYTHONPYCACHEPREFIX=../target/review-cache python3 -m compileall -q stand_ins */case.py
