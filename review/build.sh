#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The project's own program is built as deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")/rig"
GOWORK=off go build -buildvcs=false -o ../.bin/rig .
