#!/bin/bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start.
set -e
cd "$(dirname "$0")/standin-2"
mkdir -p bin
exec go build -buildvcs=false -o bin/ .
