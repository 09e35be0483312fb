#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start. It needs the standard library only, and no network.
cd "$(dirname "$0")/11" || exit 1
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off exec go build -o ../../target/review-3/standin3 .
