#!/bin/sh
# Builds the stand-ins of the third review into target/.
set -eu
cd "$(dirname "$0")/rig3"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/rig3 .
