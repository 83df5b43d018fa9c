#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves out the disruption. See claim.txt.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../play.sh" unstarted "$here"
