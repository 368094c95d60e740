#!/usr/bin/env bash
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
if [ ! -x target/review/stand_ins ] || [ ! -x target/release/cardamomshiftd ]; then
    echo "could not run: build with the command of deploy/system.toml and with review/build.sh first"
    exit 2
fi
exec target/review/stand_ins fleet "$here"
