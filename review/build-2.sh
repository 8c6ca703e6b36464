#!/bin/sh
# Builds what the scripts of the second review start, without a network. The product itself
# is built by the command of the deploy file.
cd "$(dirname "$0")/harness-2" || exit 1
GOWORK=off GOFLAGS=-buildvcs=false GOPROXY=off GOTOOLCHAIN=local go build -o bin/harness-2 .
