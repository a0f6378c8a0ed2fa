#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
# TROUBLE=0 plays it without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
exec timeout --kill-after=5 115 target/review-rig blocked-advice "$folder"
