#!/usr/bin/env bash
# Checks what the scripts need after the build of the deploy file, and compiles
# the stand-ins: those of the review and the project's store.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps || { echo 'run the build of deploy/system.toml first'; exit 1; }
python3 -m compileall -q review platform/yuccarouter_testbed
PYTHONPATH="target/deps:platform:review" python3 -c \
	'from stand_ins import callers, deployment, endpoints'
