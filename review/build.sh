#!/usr/bin/env bash
# Builds what the cases start beside the daemon of the deploy file. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/harness"
GOWORK=off GOPROXY=off go build -o ../bin/ ./cases/...
