#!/bin/bash
# Builds the stand-ins of the cases. They use Go's standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
GOPROXY=off go build -buildvcs=false -o review/bin/standins ./review/_standins
