#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps/turmericusher ] || { echo "build the deploy file first"; exit 2; }
PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 exec python3 -S review/10/case.py
