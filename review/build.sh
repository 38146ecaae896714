#!/bin/sh
# Builds the drivers of the cases with their stand-ins, into review/bin. It needs nothing but the Go tool chain.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
GOFLAGS=-mod=mod GOWORK=off CGO_ENABLED=0 go build -o bin/ ./cmd/...
