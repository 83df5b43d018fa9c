#!/bin/sh
# Builds the stand-ins of the second review to target/review-2/. It needs the standard library only.
set -eu
cd "$(dirname "$0")/rig2"
GOWORK=off go build -buildvcs=false -o ../../target/review-2/rig2 .
