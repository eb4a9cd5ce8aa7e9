#!/bin/sh
# Plays the case on loopback: exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. Build first: the build line of deploy/system.toml, and review/build.sh.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/aw-node ] && [ -x review/.bin/rig ] || { echo "build first"; exit 2; }
exec review/.bin/rig hopeless "$here"
