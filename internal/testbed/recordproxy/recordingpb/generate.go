// Package recordingpb has the messages of recordings of traffic, generated from recording.proto.
//
// To generate them after a change of recording.proto, run go generate in this folder. It needs protoc; its Go plugin is built
// from the version of google.golang.org/protobuf that go.mod names.
package recordingpb

//go:generate sh ./generate.sh
