package platform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/sse"
	"flaxshelf.example/flaxshelf/internal/front/platformfront"
	"flaxshelf.example/flaxshelf/internal/requests"
)

// quiet is how long the feed may say nothing: a comment comes each second.
const quiet = 1700 * time.Millisecond

// maxHeader bounds what comes before the first event, in bytes: memory is short.
const maxHeader = 16 << 10

// connectFeed is how long the feed may take to answer a call.
const connectFeed = time.Second

// fed is word of the feed on its way to the owner of the core: an event, or that a call stands or has ended.
type fed struct {
	requests.Input
	call   int // which call said it
	change *platformfront.WatchEvent
}

// events is which events of the feed have been taken.
type events struct {
	last uint64 // the number of the last one
	gap  uint64 // the number that was missing when the feed was asked again for it; 0: none was
	call int    // the call in hand
}

// verdict is what to do with an event.
type verdict int

const (
	had    verdict = iota // taken before, or told by a call that was given up and will be told again
	taken                 // it is the next one, or says all that those before it said
	missed                // events before it are missing: the feed is to be asked for them
)

// take judges event n. One that is missing is asked for once: a feed that does not have it either is believed.
func (e *events) take(n uint64, whole bool, call int) verdict {
	next := e.last + 1
	switch {
	case n < next, n > next && !whole && call != e.call:
		return had
	case n > next && !whole && e.gap != next:
		e.gap = next
		return missed
	}
	e.last = n
	return taken
}

// heed takes word of the feed; nil: nothing of it is for the core. Risk covered: the end of a call that was given up for
// another, or for another address, has the new one given up too.
func (s *Scheduler) heed(in fed) requests.Input {
	if in.change == nil {
		if in.call != s.events.call {
			return nil
		}
		return in.Input
	}
	switch s.events.take(in.change.Sequence, in.change.Update.Complete, in.call) {
	case taken:
		return in.change.Update
	case missed:
		s.opt.Log.Info().Uint64("missing", s.events.last+1).Uint64("came", in.change.Sequence).
			Msg("the control feed left events out: asked again")
		s.feed.ask(s.cfg.Load().DiscoveryAddr, s.events.last)
	}
	return nil
}

// feed reads the control feed, one call at a time. ask and stop are the owner's.
type feed struct {
	s      *Scheduler
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

func newFeed(s *Scheduler) *feed { return &feed{s: s} }

// ask calls the feed anew; a former call is given up.
func (f *feed) ask(addr string, last uint64) {
	if f.cancel != nil {
		f.cancel()
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.s.events.call++
	call := f.s.events.call
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		defer cancel()
		err := f.call(ctx, cancel, call, addr, last)
		if ctx.Err() != nil && !errors.Is(err, errQuiet) {
			return // given up for another call
		}
		f.s.opt.Log.Info().Err(err).Str("feed", addr).Msg("the control feed has ended")
		f.pass(fed{Input: requests.WatchFailed{}, call: call})
	}()
}

var errQuiet = errors.New("platform: the control feed says nothing")

func (f *feed) call(ctx context.Context, cancel func(), n int, addr string, last uint64) error {
	var silent atomic.Bool
	watch := time.AfterFunc(connectFeed, func() { silent.Store(true); cancel() })
	defer watch.Stop()
	fault := func(err error) error {
		if silent.Load() {
			return errQuiet
		}
		return err
	}
	dialer := &net.Dialer{Timeout: connectFeed}
	client := &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true,
		Proxy: nil, DisableCompression: true, MaxResponseHeaderBytes: maxHeader}}
	defer client.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/events", nil)
	if err != nil {
		return fmt.Errorf("platform: control feed: %w", err)
	}
	req.Header.Set("Last-Event-ID", strconv.FormatUint(last, 10))
	req.Header.Set("Accept", "text/event-stream")
	res, err := client.Do(req)
	if err != nil {
		return fault(fmt.Errorf("platform: control feed: %w", err))
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("platform: control feed: status %s", res.Status)
	}
	f.pass(fed{Input: requests.WatchEstablished{}, call: n})
	var d sse.Decoder
	buf := make([]byte, 4096)
	for {
		watch.Reset(quiet)
		got, err := res.Body.Read(buf)
		if got > 0 {
			if err := d.Write(buf[:got], func(e sse.Event) error { return f.take(n, e) }); err != nil {
				return err
			}
		}
		if err != nil {
			return fault(fmt.Errorf("platform: control feed: %w", err))
		}
	}
}

func (f *feed) take(call int, e sse.Event) error {
	change, err := f.s.cfg.Load().DecodeWatchEvent(e.Data)
	if err != nil {
		return err
	}
	f.pass(fed{call: call, change: &change})
	return nil
}

// pass hands word of the feed to the owner and waits for room.
func (f *feed) pass(in requests.Input) { f.s.box.pass(message{in: []requests.Input{in}}, f.s.ended) }

func (f *feed) stop() {
	if f.cancel != nil {
		f.cancel()
	}
	f.wg.Wait()
}
