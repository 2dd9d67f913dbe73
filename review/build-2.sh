#!/usr/bin/env bash
# Builds what the scripts of the second review start, after the build of the deploy file:
# the project's store stand-in lies in target/deps by then, and the servers and clients
# are Python modules in review/rig-2, which are only compiled. Nothing is downloaded.
set -eu
cd "$(dirname "$0")/.."
if [ ! -d target/deps/turmericusher ]; then
  echo "build the deploy file first" >&2
  exit 1
fi
python3 -m compileall -q review/rig-2
PYTHONPATH=target/deps:review/rig-2 python3 -S -c "import engines, rig"
