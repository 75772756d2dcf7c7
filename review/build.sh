#!/usr/bin/env bash
# Build the stand-ins that the scripts start: byte code of review/ is all.
set -eu
cd "$(dirname "$0")/.."
exec python3 -m compileall -q review
