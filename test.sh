#!/bin/bash
# The project's one test command: format, vet, tests and the limits on the module's text.
set -eu
cd "$(dirname "$0")"
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then echo "gofmt wants: $unformatted"; exit 1; fi
go vet ./...
lines=$(grep -c '[^[:space:]]' placer.go)
if [ "$lines" -gt 850 ]; then echo "placer.go holds $lines lines, 850 at most"; exit 1; fi
long=$(git ls-files -co --exclude-standard '*.go' ':!*_test.go' | xargs -d '\n' awk '{gsub(/\t/,"    ")} length>110 {print FILENAME":"FNR}')
if [ -n "$long" ]; then echo "lines over 110 characters: $long"; exit 1; fi
go test ./...
echo "placer.go: $lines lines"
