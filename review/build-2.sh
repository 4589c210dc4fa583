#!/bin/sh
# Builds what the scripts of cases 6 to 10 start, after the build of the deploy
# file: the project's own stand-ins in platform/yuccarouter_testbed and those in the
# folders of the cases. They are Python programs that need only target/deps.
set -e
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo 'run the build of deploy/system.toml first' >&2; exit 2; }
python3 -m compileall -q platform/yuccarouter_testbed platform/yuccarouter_platform \
    packages/daemon/src packages/common/src
for folder in 6 7 8 9 10; do
    [ -d "review/$folder" ] && python3 -m compileall -q "review/$folder"
done
PYTHONPATH=platform:packages/common/src:packages/daemon/src:target/deps \
    python3 -c 'import yuccarouter_testbed.fleet, yuccarouter_testbed.callers'
