"""Counts by cause what became of streams that lost an attempt, from logs of instances.

    python -m benchmarks.lost_streams LOG...

Reads lines of key=value pairs as instances write them, whatever stands before them.
Prints one JSON object: for each cause how many attempts went on from a copy and how
many had the prompt read again, streams that callers took up again, and refusals.
Streams that were under way when their instance ended leave no line.
"""

from __future__ import annotations

import json
import re
import sys
from collections import Counter
from collections.abc import Iterable

PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
STREAM_KIND = "resumable_stream"


def parse_line(line: str) -> dict[str, str]:
    """Return the fields of a log line; empty if it is none."""
    start = line.find("time=")
    if start < 0:
        return {}
    return {name: value.strip('"') for name, value in PAIR.findall(line[start:])}


def cause_of(reason: str) -> str:
    """Return the cause in the reason of an attempt: `NAME: CAUSE DETAILS`."""
    cause, _, details = reason.partition(": ")[2].partition(" ")
    if cause == "silent" and details.startswith("stalled"):
        return "stalled"
    return cause or "hedge"


def count_causes(lines: Iterable[str]) -> dict[str, Counter[str]]:
    """Return the counts of all streams in some logs."""
    repeats: dict[str, list[dict[str, str]]] = {}
    counts: dict[str, Counter[str]] = {
        "from a copy": Counter(),
        "prompt read again": Counter(),
        "taken up by callers": Counter(),
        "not served": Counter(),
        "streams": Counter(),
    }
    for line in lines:
        fields = parse_line(line)
        if fields.get("event") == "attempt_started":
            repeats.setdefault(fields["id"], []).append(fields)
        if fields.get("event") != "request_ended" or fields["kind"] != STREAM_KIND:
            continue
        counts["streams"]["ended"] += 1
        for start in repeats.pop(fields["id"], []):
            way = "from a copy" if start["from_copy"] == "true" else "prompt read again"
            counts[way][cause_of(start["reason"])] += 1
        if fields["resume_after"] != "null":
            counts["taken up by callers"]["prompt read again"] += 1
        outcome = fields["outcome"].partition(":")[0]
        if not outcome.startswith("answered_2"):
            counts["not served"][outcome] += 1
    return counts


def main(paths: list[str]) -> None:
    """Print the sums over the logs at some paths."""
    sums: dict[str, Counter[str]] = {}
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as file:  # noqa: PTH123
            for name, counter in count_causes(file).items():
                sums.setdefault(name, Counter()).update(counter)
    shown = {name: dict(counter.most_common()) for name, counter in sums.items()}
    print(json.dumps({"logs": len(paths), **shown}, indent=2))


if __name__ == "__main__":
    main(sys.argv[1:])
