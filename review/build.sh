#!/bin/sh
# Builds the stand-ins of the cases into target/review-standins.
set -eu
cd "$(dirname "$0")/standins"
mkdir -p ../../target
GOTOOLCHAIN=local GOWORK=off CGO_ENABLED=0 go build -trimpath -o ../../target/review-standins .
