#!/bin/sh
# Plays the case "outage": exits with 1 if the rule was broken, 0 if it held and 2 if it could not run. TROUBLE=0 leaves the
# disruption out. Build target/sardined and review/build-2.sh first.
root=$(cd "$(dirname "$0")/../.." && pwd) || exit 2
cd "$root" && [ -x target/review-2/rig2 ] && [ -x target/sardined ] || exit 2
exec target/review-2/rig2 case outage "$root/review/8"
