#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out. Exits with 1 if the
# rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps/turmericusher ] || { echo "build the deploy file first"; exit 2; }
rm -f review/7/record.txt
PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 python3 -S review/7/case.py
result=$?
# Without a record the case has not begun.
[ -s review/7/record.txt ] || exit 2
exit "$result"
