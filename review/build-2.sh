#!/usr/bin/env bash
# Builds the stand-ins of the second review: compiles them, so that a fault
# shows here and not in a case. They need the standard library alone.
set -eu
cd "$(dirname "$0")"
exec python3 -m compileall -q standins2
