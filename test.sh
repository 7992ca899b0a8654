#!/bin/bash
# The project's one test command: format, vet, static checks, the limits on the module's text, tests, and the
# same tests of what runs on several goroutines under the race detector.
set -eu
cd "$(dirname "$0")"
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then echo "gofmt wants: $unformatted"; exit 1; fi
go vet ./...
# The files under `policy` hold every decision of the module, together 1,000 lines at most.
policy=$(sed -n 's/^policy = \[\(.*\)\]$/\1/p' deploy/balancer.toml | tr -d '",')
if [ -z "$policy" ]; then echo "deploy/balancer.toml names no policy files"; exit 1; fi
# shellcheck disable=SC2086 # a list of files
lines=$(cat $policy | grep -c '[^[:space:]]')
if [ "$lines" -gt 1000 ]; then echo "$policy hold $lines lines, 1000 at most"; exit 1; fi
long=$(git ls-files -co --exclude-standard '*.go' ':!*_test.go' ':!*.pb.go' |
	xargs -d '\n' awk '{gsub(/\t/,"    ")} length>130 && !/help:"/ {print FILENAME":"FNR}')
if [ -n "$long" ]; then echo "lines over 130 characters: $long"; exit 1; fi
# shellcheck disable=SC2086
long=$(awk '{gsub(/\t/,"    ")} length>110 {print FILENAME":"FNR}' $policy)
if [ -n "$long" ]; then echo "policy lines over 110 characters: $long"; exit 1; fi
go tool staticcheck ./...
# What runs at night imports nothing of what is for trying it out.
inward=$(go list -f '{{$p := .ImportPath}}{{range .Imports}}{{$p}} imports {{.}}{{"\n"}}{{end}}' . ./internal/... ./drmaa2 |
	grep -v '^[^ ]*/internal/lab/' | grep 'imports .*/internal/lab/' || true)
if [ -n "$inward" ]; then echo "$inward"; exit 1; fi
go test ./...
go test -race ./internal/transport ./internal/platform ./internal/lab/wiretap ./internal/daemon ./internal/lab/standin/...
go test -race -run "Determinism|Resume" ./internal/lab/emulator ./internal/lab/experiment
echo "policy files: $lines lines"
