#!/bin/bash
# Builds the stand-ins of the review's cases. They have a module of their own, without dependencies.
set -eu
cd "$(dirname "$0")/standin"
mkdir -p ../bin
exec env GOFLAGS=-mod=mod GOPROXY=off GOWORK=off go build -buildvcs=false -o ../bin/standin .
