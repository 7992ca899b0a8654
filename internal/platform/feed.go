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

	"flaxshelf.example/flaxshelf/internal/asks"
	"flaxshelf.example/flaxshelf/internal/codec/eventstream"
	"flaxshelf.example/flaxshelf/internal/front/platformfront"
)

// quiet is how long the feed may say nothing: a comment comes each second.
const quiet = 1700 * time.Millisecond

// connectFeed is how long the feed may take to answer a call.
const connectFeed = time.Second

// told is an event of the feed on its way to the owner of the core, which knows what it had.
type told struct {
	asks.Input
	change platformfront.Change
}

// heed takes an event of the feed once.
func (s *Scheduler) heed(e told) (asks.Input, bool) {
	if e.change.N <= s.last {
		return nil, false
	}
	s.last = e.change.N
	return e.change.Listed, true
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
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		defer cancel()
		err := f.call(ctx, cancel, addr, last)
		if ctx.Err() != nil && !errors.Is(err, errQuiet) {
			return // given up for another call
		}
		f.s.opt.Log.Info().Err(err).Str("feed", addr).Msg("the control feed has ended")
		f.pass(asks.FeedDown{})
	}()
}

var errQuiet = errors.New("platform: the control feed says nothing")

func (f *feed) call(ctx context.Context, cancel func(), addr string, last uint64) error {
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
		Proxy: nil, DisableCompression: true}}
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
	f.pass(asks.FeedUp{})
	var d eventstream.Decoder
	buf := make([]byte, 4096)
	for {
		watch.Reset(quiet)
		n, err := res.Body.Read(buf)
		if n > 0 {
			if err := d.Write(buf[:n], f.take); err != nil {
				return err
			}
		}
		if err != nil {
			return fault(fmt.Errorf("platform: control feed: %w", err))
		}
	}
}

func (f *feed) take(e eventstream.Event) error {
	change, err := f.s.cfg.Load().Change(e.Data)
	if err != nil {
		return err
	}
	f.pass(told{change: change})
	return nil
}

// pass hands word of the feed to the owner and waits for room.
func (f *feed) pass(in asks.Input) { f.s.box.pass(message{in: []asks.Input{in}}, f.s.ended) }

func (f *feed) stop() {
	if f.cancel != nil {
		f.cancel()
	}
	f.wg.Wait()
}
