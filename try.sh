#!/bin/sh
# Sets up .venv with the lab's packages and plays a bad build and a good one on a loopback fleet of three real relays.
set -eu
cd "$(dirname "$0")"
test -d .venv || python3 -m venv .venv
cmp -s requirements-lab.txt .venv/lab.txt || { .venv/bin/pip -q install -r requirements-lab.txt
    cp requirements-lab.txt .venv/lab.txt; }
mkdir -p found
for day in bad good; do
    echo "== a $day build, three real relays, 18 seconds"
    .venv/bin/python -B -m tealsail trial "examples/try-$day.toml" --chart "found/try-$day.png" \
        --record "found/try-$day.record.gz"
done
