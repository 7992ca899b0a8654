package platform

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"
)

// maxWatchRequests is the maximum number of requests that one stream makes at the same time.
const maxWatchRequests = 2

// watchResponse is the result of one request for the events of the control feed.
type watchResponse struct {
	request  int            // number of the request within its stream, from 0
	response *http.Response // nil if the request failed
	err      error
	cancel   context.CancelFunc // ends the request and the reading of its response
}

// close ends the reading of a response.
func (r *watchResponse) close() {
	r.cancel()
	_ = r.response.Body.Close() // an error says only that the canceled response was not read to its end
}

// connect requests the events after lastSequence. If there is no response after watchHedgeDelay, it makes a second request and
// uses the response that arrives first. The caller must close that response. If all requests fail, it returns the last one's
// error.
func (st *watchStream) connect(ctx context.Context, lastSequence uint64) (*watchResponse, error) {
	results := make(chan watchResponse, maxWatchRequests)
	var cancels []context.CancelFunc
	start := func() {
		requestContext, cancel := context.WithCancel(ctx)
		request := len(cancels)
		cancels = append(cancels, cancel)
		st.requests.Go(func() {
			response, err := requestEvents(requestContext, st.addr, lastSequence)
			results <- watchResponse{request: request, response: response, err: err, cancel: cancel}
		})
	}
	hedge := time.NewTimer(watchHedgeDelay)
	defer hedge.Stop()
	start()
	for failed := 0; ; {
		select {
		case <-hedge.C:
			start()
		case result := <-results:
			if result.err == nil {
				cancelOthers(cancels, result.request)
				return &result, nil
			}
			result.cancel()
			if failed++; failed == len(cancels) {
				return nil, result.err
			}
		}
	}
}

// cancelOthers cancels all requests of a stream but one. The HTTP client closes the connections of canceled requests, also if
// their responses have arrived.
func cancelOthers(cancels []context.CancelFunc, used int) {
	for request, cancel := range cancels {
		if request != used {
			cancel()
		}
	}
}

// requestEvents makes one request for the events after lastSequence. It has a client and a connection of its own, so that it
// never waits for another request. The caller must close the body of the response.
func requestEvents(ctx context.Context, addr string, lastSequence uint64) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+watchPath, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Last-Event-ID", strconv.FormatUint(lastSequence, 10))
	request.Header.Set("Accept", "text/event-stream")
	client := &http.Client{Transport: &http.Transport{
		DialContext:            (&net.Dialer{Timeout: watchConnectTimeout}).DialContext,
		DisableKeepAlives:      true,
		Proxy:                  nil,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxWatchHeader,
	}}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, &watchStatusError{Status: response.Status}
	}
	return response, nil
}
