#!/usr/bin/env bash
# Builds the stand-ins of the third review, which are those of the second:
# compiles them, so that a fault shows here and not in a case.
set -eu
cd "$(dirname "$0")"
exec python3 -m compileall -q standins2
