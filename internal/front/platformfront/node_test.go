package platformfront

import (
	"errors"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/codec/nodeparam"
	"flaxshelf.example/flaxshelf/internal/requests"
)

func TestDecodeNodeMessage(t *testing.T) {
	const id = "00000000000000ff"
	for name, c := range map[string]struct {
		message nodeparam.Message
		want    requests.Input
	}{
		"answer": {nodeparam.Message{Type: nodeparam.Answer, Cause: nodeparam.NoCause, Description: "d", Described: true},
			requests.NodeMessage{Link: 4, Task: id, Kind: requests.NodeAccepted, Cause: -1, Description: "d"}},
		"release": {nodeparam.Message{Type: nodeparam.Release, Cause: 34, Token: "busy"},
			requests.NodeMessage{Link: 4, Task: id, Kind: requests.NodeReleased, Cause: 34, Reason: flaxshelf.QueueFull}},
		"released": {nodeparam.Message{Type: nodeparam.Released, Cause: nodeparam.NoCause},
			requests.NodeMessage{Link: 4, Task: id, Kind: requests.NodeConfirmedRelease, Cause: -1}},
		"service level": {nodeparam.Message{Type: nodeparam.Note, Cause: nodeparam.NoCause, Token: "share", Value: "0.5"},
			requests.NodeMessage{Link: 4, Task: id, Kind: requests.NodeUsage, Cause: -1, UsageKind: flaxshelf.ServiceLevel, Amount: 0.5}},
		"running, without an amount": {nodeparam.Message{Type: nodeparam.Note, Cause: nodeparam.NoCause, Token: "up"},
			requests.NodeMessage{Link: 4, Task: id, Kind: requests.NodeUsage, Cause: -1, UsageKind: flaxshelf.TaskRunning}},
		"amount is no number":    {nodeparam.Message{Type: nodeparam.Note, Cause: nodeparam.NoCause, Token: "share", Value: "nan"}, nil},
		"amount out of range":    {nodeparam.Message{Type: nodeparam.Note, Cause: nodeparam.NoCause, Token: "share", Value: "1e999"}, nil},
		"quantity of the future": {nodeparam.Message{Type: nodeparam.Note, Cause: nodeparam.NoCause, Token: "mood"}, nil},
		"progress":               {nodeparam.Message{Type: nodeparam.Progress, Cause: nodeparam.NoCause}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			c.message.Task = 0xff
			if got, err := DecodeNodeMessage(4, &c.message); err != nil || got != c.want {
				t.Errorf("%+v, %v, want %+v", got, err, c.want)
			}
		})
	}
}

func TestDecodeNodeMessageRejects(t *testing.T) {
	for name, m := range map[string]nodeparam.Message{
		"an answer without a description": {Type: nodeparam.Answer, Cause: nodeparam.NoCause},
		"a release without a cause":       {Type: nodeparam.Release, Cause: nodeparam.NoCause},
	} {
		if got, err := DecodeNodeMessage(4, &m); !errors.Is(err, nodeparam.ErrMalformed) {
			t.Errorf("%s was decoded as %+v, %v", name, got, err)
		}
	}
}

// A set-up reaches a node as the owner sent it, with nothing that the platform does not name.
func TestEncodeOffer(t *testing.T) {
	encoded, err := EncodeOffer(nil, &requests.Offer{Link: 4, Task: "00000000000000ff", Class: "batch", Key: "k", IdempotencyKey: "i",
		Description: "d\r\n", TimeLeft: 1500*time.Millisecond + 1})
	if err != nil {
		t.Fatal(err)
	}
	got, used, err := nodeparam.Next(encoded)
	want := nodeparam.Message{Type: nodeparam.SetUp, Task: 0xff, Cause: nodeparam.NoCause, Class: "batch", TimeLeft: "1500", Key: "k",
		IdempotencyKey: "i", Description: "d\r\n", Described: true}
	if err != nil || used != len(encoded) || got != want {
		t.Errorf("%+v, %v", got, err)
	}
}

func BenchmarkDecodeNodeMessage(b *testing.B) {
	m := nodeparam.Message{Type: nodeparam.Release, Cause: 34, Token: "busy"}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := DecodeNodeMessage(4, &m); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkEncodeOffer(b *testing.B) {
	offer := requests.Offer{Link: 4, Task: "00000000000000ff", Class: "batch", Key: "k", IdempotencyKey: "i", Description: "d\r\n"}
	var buf []byte
	b.ReportAllocs()
	for b.Loop() {
		var err error
		if buf, err = EncodeOffer(buf[:0], &offer); err != nil {
			b.Fatal(err)
		}
	}
}
