#!/bin/sh
# Builds the stand-ins of the review's scripts into target/review/. Needs the Go toolchain only, no network.
set -e
cd "$(dirname "$0")"
mkdir -p ../target/review
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../target/review/standin .
