#!/bin/sh
# Generates recording.pb.go from recording.proto. It needs protoc.
set -eu
plugin_directory=$(mktemp -d)
trap 'rm -rf "$plugin_directory"' EXIT
go build -o "$plugin_directory/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
cd ../../../..
protoc --plugin="$plugin_directory/protoc-gen-go" --go_out=. --go_opt=paths=source_relative \
  internal/testbed/recordproxy/recordingpb/recording.proto
