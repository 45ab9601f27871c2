#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-1 ] && [ -x target/poplarwheel ] || { echo "build first"; exit 2; }
exec target/review-1 review/1
