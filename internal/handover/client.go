// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package handover

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/wingvale/wingvale/internal/relay"
	"github.com/wingvale/wingvale/verdict"
)

const (
	// acceptTimeout limits the time until the other host asks for the body of a request,
	// acceptDivisor the share of the time left that this may take.
	acceptTimeout = 500 * time.Millisecond
	acceptDivisor = 4
	// silenceTimeout is how long another host may send nothing before a request that can run elsewhere
	// is cancelled there: several intervals of progress. It is checked each silenceCheckInterval.
	silenceTimeout       = 2 * time.Second
	silenceCheckInterval = silenceTimeout / 8
	// drainTimeout limits the time for the end of a body after its last frame.
	drainTimeout = 20 * time.Millisecond
	// hopTime is how much sooner the time of a request ends at the other host, so that its
	// verdict arrives in time.
	hopTime = 10 * time.Millisecond
	// fullRetryAfter is the Retry-After of a caller refused because of the limit on requests
	// that are handed over at once.
	fullRetryAfter = 250 * time.Millisecond
)

// Options are the dependencies and settings of a Client. All are required.
type Options struct {
	// Isolated reports whether this host reaches no backend server.
	Isolated func() bool
	// Targets returns the hosts in touch with backend servers, without this one. The result
	// must not be modified.
	Targets func() []Target
	// HTTP makes the calls. It must not repeat a call whose body cannot be read again.
	HTTP   *http.Client
	Log    logrus.FieldLogger
	Scope  tally.Scope
	Random *rand.Rand
	// Limit is the number of requests that may be handed over at once.
	Limit int
}

// Client hands requests over to other hosts. It is safe for concurrent use.
type Client struct {
	options Options

	mu     sync.Mutex
	random *rand.Rand
	// inFlight counts the requests at each host, and total at all of them. No count is 0.
	inFlight map[netip.AddrPort]int
	total    int
}

var _ relay.Handover = (*Client)(nil)

// New returns a client.
func New(o Options) *Client {
	return &Client{options: o, random: o.Random, inFlight: make(map[netip.AddrPort]int)}
}

// Wanted reports whether requests should be handed over now.
func (c *Client) Wanted() bool {
	return c.options.Isolated() && len(c.options.Targets()) > 0
}

// HandOver hands a request over to one host.
func (c *Client) HandOver(ctx context.Context, h relay.Handoff, sink relay.Sink) relay.HandoffResult {
	target, err := c.acquire(h.Except)
	if err != nil {
		c.options.Scope.Tagged(map[string]string{"reason": string(err.Reason)}).Counter("refused").Inc(1)
		return relay.HandoffResult{Runs: h.Runs, Err: err}
	}
	defer c.release(target)
	result := c.call(ctx, target, h, sink)
	c.options.Scope.Tagged(map[string]string{"outcome": outcomeOf(result.Err)}).Counter("sent").Inc(1)
	entry := c.options.Log.WithFields(logrus.Fields{"host": target.String(), "request": h.ID, "outcome": outcomeOf(result.Err), "runs": result.Runs})
	if result.Err != nil {
		entry = entry.WithError(result.Err)
	}
	entry.Info("forwarded to another host")
	return result
}

var (
	errNotAccepted = errors.New("handover: the other host did not ask for the request in time")
	errSilent      = errors.New("handover: the other host fell silent")
)

// call is one request at one host.
func (c *Client) call(ctx context.Context, target netip.AddrPort, h relay.Handoff, sink relay.Sink) relay.HandoffResult {
	result := relay.HandoffResult{Host: target, Runs: h.Runs}
	failed := func(v verdict.Verdict, err error) relay.HandoffResult {
		result.Broken = true
		result.Err = verdict.New(v, verdict.ReasonConnection, "handover: %s: %w", target, err)
		return result
	}
	now := time.Now()
	head, err := encodeRequest(newEnvelope(h.Request, now.Add(hopTime)))
	if err != nil {
		return failed(verdict.NotRun, err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	body := newGatedBody(ctx, head, h.Body)
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{Got100Continue: body.open}),
		http.MethodPost, "http://"+target.String()+Path, body)
	if err != nil {
		return failed(verdict.NotRun, err)
	}
	request.ContentLength = int64(len(head) + len(h.Body))
	request.Header.Set("Expect", "100-continue")
	accept := time.AfterFunc(acceptTime(ctx), func() {
		if body.abandon() {
			cancel(errNotAccepted)
		}
	})
	response, err := c.options.HTTP.Do(request)
	accept.Stop()
	if err == nil && response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		err = fmt.Errorf("handover: status %d", response.StatusCode)
	}
	if err != nil {
		if !body.isSent() {
			return failed(verdict.NotRun, causeOr(ctx, err))
		}
		result.Runs++
		return failed(verdict.Unknown, causeOr(ctx, err))
	}
	defer func() { _ = response.Body.Close() }()
	r := &receiver{frames: frameReader{reader: response.Body}, sink: sink, runs: h.Runs}
	stopWatch := c.watch(r, target, h, &result.RetryTaken, func() { cancel(errSilent) })
	err = r.run()
	stopWatch()
	if r.frames.ended {
		drain(response.Body, cancel)
	}
	result.Started = r.started
	if v := new(verdict.Error); errors.As(err, &v) && v.Verdict == verdict.NotRun {
		result.Err = err
		return result
	}
	if body.isSent() {
		result.Runs = max(result.Runs+1, r.runs)
	}
	switch {
	case !errors.Is(err, errBroken):
		result.Err = err
	case !body.isSent():
		return failed(verdict.NotRun, causeOr(ctx, err))
	default:
		return failed(verdict.Unknown, causeOr(ctx, err))
	}
	return result
}

// drain reads the end of a body after its last frame, so that the connection can be kept.
func drain(body io.Reader, cancel context.CancelCauseFunc) {
	defer time.AfterFunc(drainTimeout, func() { cancel(nil) }).Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(body, 1))
}

// acceptTime returns how long the other host may take to ask for the body.
func acceptTime(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return acceptTimeout
	}
	return min(acceptTimeout, time.Until(deadline)/acceptDivisor)
}

// causeOr returns why ctx was cancelled, or err.
func causeOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// watch cancels a request at another host that has fallen silent, if the request can do without that host. It
// sets retryTaken if a retry was taken for it. The returned function ends the watch and must be called.
func (c *Client) watch(r *receiver, target netip.AddrPort, h relay.Handoff, retryTaken *bool, cancel func()) (stop func()) {
	ctx, stopWatch := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(silenceCheckInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			if !r.isSilent(time.Now()) {
				continue
			}
			gone := !slices.ContainsFunc(c.options.Targets(), func(t Target) bool { return t.Peer == target })
			started, runs := r.state()
			switch {
			case started && gone:
			case !started && h.TakeRetry != nil && c.hasOther(target, h.Except) && h.TakeRetry(max(runs, h.Runs+1)):
				*retryTaken = true
			default:
				continue
			}
			c.options.Scope.Counter("silent").Inc(1)
			c.options.Log.WithFields(logrus.Fields{"host": target.String(), "request": h.ID, "started": started, "gone": gone, "runs": runs}).
				Info("a silent host is left")
			cancel()
			return
		}
	}()
	return func() {
		stopWatch()
		<-done
	}
}

// hasOther reports whether a request can be handed over to a host other than those that were tried.
func (c *Client) hasOther(target netip.AddrPort, except []netip.AddrPort) bool {
	return slices.ContainsFunc(c.options.Targets(), func(t Target) bool {
		return t.Peer != target && !slices.Contains(except, t.Peer)
	})
}

// receiver forwards the frames of an answer to a sink.
type receiver struct {
	frames frameReader
	sink   relay.Sink

	mu sync.Mutex
	// waitingSince is when the receiver began to wait for the next frame; zero while it does not.
	waitingSince time.Time
	// started reports whether the sink was started.
	started bool
	// runs is the maximum number of runs that the other host has announced.
	runs int
}

// run forwards an answer. The error wraps errBroken if the answer has no end.
func (r *receiver) run() error {
	for {
		r.setWaiting(time.Now())
		f, err := r.frames.next()
		r.setWaiting(time.Time{})
		if err != nil {
			return err
		}
		if last, err := r.forward(f); last || err != nil {
			return err
		}
	}
}

func (r *receiver) setWaiting(since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waitingSince = since
}

// isSilent reports whether the receiver has been waiting for a frame too long.
func (r *receiver) isSilent(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.waitingSince.IsZero() && now.Sub(r.waitingSince) >= silenceTimeout
}

// state returns whether the sink was started, and the number of runs.
func (r *receiver) state() (started bool, runs int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.started, r.runs
}

// forward forwards a frame, and reports whether it was the end of a complete answer.
func (r *receiver) forward(f frame) (bool, error) {
	switch f.kind {
	case frameProgress:
		var p progress
		if err := decode(f, &p); err != nil {
			return false, err
		}
		r.mu.Lock()
		r.runs = max(r.runs, p.Runs)
		r.mu.Unlock()
	case frameHead:
		var head answerHead
		if err := decode(f, &head); err != nil {
			return false, err
		}
		r.mu.Lock()
		r.started = true
		r.mu.Unlock()
		if head.OmitEnd {
			r.sink.OmitEnd()
		}
		r.sink.Start(head.Status, head.Header.header())
	case frameData:
		if r.sink.Write(f.payload) != nil {
			return false, relay.ErrCut
		}
	case frameEnd:
		return true, nil
	case frameCut:
		return false, relay.ErrCut
	case frameVerdict:
		var e wireError
		if err := decode(f, &e); err != nil {
			return false, err
		}
		return false, verdict.New(e.Verdict, e.Reason, "%s", string(e.Message)).WithRetryAfter(e.RetryAfter)
	}
	return false, nil
}

// decode decodes the payload of a control frame.
func decode(f frame, value any) error {
	if err := json.Unmarshal(f.payload, value); err != nil {
		return fmt.Errorf("%w: %w", errBroken, err)
	}
	return nil
}

// outcomeOf returns the name of an outcome in logs and metrics.
func outcomeOf(err error) string {
	switch {
	case err == nil:
		return "answered"
	case errors.Is(err, relay.ErrCut):
		return "cut"
	case errors.Is(err, relay.ErrDisconnected):
		return "left"
	default:
		return verdict.Of(err).String()
	}
}
