#!/bin/sh
# Installs the pinned libraries and copies the sources of this tree to target/deps.
set -eu
cd "$(dirname "$0")/.."
if ! cmp -s deploy/requirements.txt target/installed-requirements.txt; then
  rm -rf target/deps
  python3 -m pip install -q -c constraints.txt --target target/deps -r deploy/requirements.txt
  cp deploy/requirements.txt target/installed-requirements.txt
fi
rm -rf target/deps/gypsumvane_core target/deps/gypsumvane_daemon target/deps/gypsumvane_platform
cp -r packages/gypsumvane-core/src/gypsumvane_core target/deps/
cp -r packages/gypsumvane-daemon/src/gypsumvane_daemon target/deps/
cp -r platform/gypsumvane_platform target/deps/
python3 -m compileall -q target/deps
