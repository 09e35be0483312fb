#!/bin/sh
# Builds the stand-ins that the scripts of the third review start. It needs the standard library only, and no network.
cd "$(dirname "$0")/standin3" || exit 1
GOWORK=off exec go build -o ../../target/review-3/standin3 .
