#!/bin/sh
# Builds the stand-ins of the cases, after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-harness ./review/harness
