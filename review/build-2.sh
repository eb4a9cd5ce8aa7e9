#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into .bin/, from review/rig2 and the project's stand-in of the store (platform/fakes).
set -eu
cd "$(dirname "$0")/rig2"
go build -o ../../.bin/rig2 .
