#!/bin/sh
# Plays the case on loopback addresses; see claim.txt and review/rig2. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x .bin/rig2 ] && [ -x target/aw-node ] || { echo "build first: the build of the deploy file, then review/build-2.sh"; exit 2; }
exec timeout --signal=TERM --kill-after=2 115 .bin/rig2 failure-after-kill review/10
