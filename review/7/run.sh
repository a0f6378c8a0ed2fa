#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd) || exit 2
[ -x "$root/target/review-2/rig" ] || exit 2
exec "$root/target/review-2/rig" cancel "$root" record.txt
