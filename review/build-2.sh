#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 into bin/review-2. The program itself is built by the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin/review-2
go build -buildvcs=false -o bin/review-2/ ./review/_standins-2/drill
