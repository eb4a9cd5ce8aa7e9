#!/bin/sh
# Builds the program with the stand-ins and the cases, into review/.bin/. It uses the standard library only.
set -e
cd "$(dirname "$0")/rig"
GOWORK=off GOFLAGS=-mod=mod go build -buildvcs=false -o ../.bin/rig .
