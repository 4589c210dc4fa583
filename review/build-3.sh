#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start, after the build of
# deploy/system.toml: the stand-ins of the testbed and the harness of these
# scripts. Nothing is fetched: the libraries are those in target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps || { echo 'run the build of deploy/system.toml first' >&2; exit 2; }
mkdir -p target/review-3
cp review/11/harness.py target/review-3/review_harness.py
python3 -m compileall -q platform target/review-3
PYTHONPATH="platform:packages/daemon/src:packages/common/src:target/deps:target/review-3" \
    python3 -S -c 'import review_harness'
