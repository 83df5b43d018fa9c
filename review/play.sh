#!/usr/bin/env bash
# play.sh CASE FOLDER plays a case of the rig from the repository's root and writes its record to FOLDER/record.txt.
# It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
[ -x target/sardined ] && [ -x review/.bin/rig ] || { echo "build first: deploy/system.toml and review/build.sh" >&2; exit 2; }
review/.bin/rig "$1" "$folder/record.txt" &
rig=$!
# The rig ends all processes that it has started.
trap 'kill "$rig" 2>/dev/null; wait "$rig"; exit 2' TERM INT
wait "$rig"
code=$?
grep RESULT "$folder/record.txt"
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
