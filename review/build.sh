#!/usr/bin/env bash
# Builds the scripts of the review with the stand-ins that they start.
set -euo pipefail
cd "$(dirname "$0")/.."
for n in 1 2 3 4 5; do
  if [ -f "review/$n/main.go" ]; then
    go build -tags review -o "target/review-$n" "./review/$n"
  fi
done
