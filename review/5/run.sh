#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/wingvaled ] && [ -x target/review/case5 ] || { echo "build first" >&2; exit 2; }
exec target/review/case5 -binary target/wingvaled -record "$here/record.txt"
