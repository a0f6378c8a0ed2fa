#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. The manager is built by
# the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/rig"
GOWORK=off go build -trimpath -o ../../target/review-rig .
