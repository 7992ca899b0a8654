package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

type server struct {
	ID      string `json:"id"`
	Addr    string `json:"addr"`
	Zone    string `json:"zone"`
	Kind    string `json:"kind"`
	Cell    int    `json:"cell"`
	State   string `json:"state"`
	Weight  int    `json:"weight"`
	Started int64  `json:"started_ms"`
}

// feed is the control feed.
type feed struct {
	mu      sync.Mutex
	events  []json.RawMessage
	changed chan struct{}
	server  *http.Server
	addr    string
}

func newFeed() (*feed, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &feed{changed: make(chan struct{}), addr: listener.Addr().String()}
	f.server = &http.Server{Handler: http.HandlerFunc(f.serve)}
	go func() { _ = f.server.Serve(listener) }()
	return f, nil
}

func (f *feed) add(full bool, servers ...server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.events) + 1
	text, _ := json.Marshal(map[string]any{"n": n, "members": map[string]any{"version": n, "full": full, "servers": servers}})
	f.events = append(f.events, text)
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *feed) serve(w http.ResponseWriter, r *http.Request) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := w.(http.Flusher)
	for {
		f.mu.Lock()
		events, changed := f.events, f.changed
		f.mu.Unlock()
		for ; last < len(events); last++ {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", last+1, events[last])
		}
		flusher.Flush()
		select {
		case <-changed:
		case <-time.After(time.Second):
			fmt.Fprint(w, ": comment\n\n")
		case <-r.Context().Done():
			return
		}
	}
}
