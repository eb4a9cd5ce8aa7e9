#!/bin/sh
# Builds the stand-ins that the scripts of the third review (review/11 to review/15) start.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/.bin/review-3"
cd "$root/review/rig3"
go build -o "$root/.bin/review-3/" .
