#!/bin/sh
# Plays the case apart against target/sardined. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
exec target/rig3 apart "$folder"
