#!/usr/bin/env bash
# Builds the stand-ins of the cases from review/6 on. Run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-2/ ./review/stand-2
