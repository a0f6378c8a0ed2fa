#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. They use the standard
# library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
GOWORK=off go build -C review/rig-2 -o "$PWD/target/review-2/rig" .
