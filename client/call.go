// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/wingvale/wingvale/request"
	"github.com/wingvale/wingvale/verdict"
)

// Answer is the complete answer to a request.
type Answer struct {
	ID   request.ID
	Text string
	// Node is the node that sent the end of the answer.
	Node    netip.AddrPort
	Attempt int
	// Costs has the cost of each stage.
	Costs []request.StageCost
	// Resumed is the number of times that the answer was interrupted and resumed.
	Resumed int
	// First is the time from the call to the first text.
	First time.Duration
}

// Observer receives the text of an answer as it arrives. Nil functions are not called.
type Observer struct {
	// Text is called with each piece of text.
	Text func(text string)
	// Restart is called when the answer starts again from the beginning. The text received
	// before the restart has to be discarded.
	Restart func()
}

const (
	// maxTries is the maximum number of times that a request is sent.
	maxTries = 8
	// retryBackoff is the pause before the first retry. It doubles with each further retry
	// up to maxRetryBackoff.
	retryBackoff = 50 * time.Millisecond
	// maxEventBytes is the length of the longest event that is read.
	maxEventBytes   = 4 << 20
	maxRetryBackoff = time.Second
	// responseTimeout limits the time until a node starts to respond. A node that accepts a
	// request responds immediately, and a stalled node does not respond at all.
	responseTimeout = 1500 * time.Millisecond
	// idleTimeout limits the time for which a stream brings no data, not even a keep-alive,
	// which a running node sends every second.
	idleTimeout = 4 * time.Second
)

// Do runs one request and returns its complete answer. An error has a verdict: with
// verdict.NotRun the request did not run and may be sent again.
func (c *Client) Do(ctx context.Context, spec request.Spec) (Answer, error) {
	return c.Stream(ctx, spec, Observer{})
}

// Stream is like Do and also passes the text to observer as it arrives.
func (c *Client) Stream(ctx context.Context, spec request.Spec, observer Observer) (Answer, error) {
	call := &call{client: c, spec: spec, observer: observer, startedAt: time.Now(), repeatable: !spec.Unrepeatable}
	return call.run(ctx)
}

// call is one request in progress.
type call struct {
	client    *Client
	spec      request.Spec
	observer  Observer
	startedAt time.Time
	id        request.ID
	// maybeStarted is true if a node may have started the request under id.
	maybeStarted bool
	// repeatable is true if another node may continue the request.
	repeatable bool
	// checkpoint is the last checkpoint that a node sent.
	checkpoint *request.Checkpoint
	// attempt is the highest attempt seen, and chunks is its text.
	attempt int
	chunks  []string
	// firstTextAfter is the time from startedAt to the first text.
	firstTextAfter time.Duration
	resumed        int
	// node is the node that the request was last sent to.
	node netip.AddrPort
	// failureCosts are the costs that a failure reported.
	failureCosts []request.StageCost
}

// run sends the request until it is answered, retrying as shouldRetry allows.
func (c *call) run(ctx context.Context) (Answer, error) {
	var last error
	for try := range maxTries {
		if try > 0 {
			sleep(ctx, min(retryBackoff<<(try-1), maxRetryBackoff))
		}
		if ctx.Err() != nil {
			break
		}
		node, err := c.selectNode(ctx, try)
		if err != nil {
			last = err
			continue
		}
		done, err := c.send(ctx, node)
		if err == nil {
			return c.buildAnswer(*done)
		}
		last = err
		if verdict.As(err).Settled {
			// The issuer of the id answers for every copy of the request that was sent.
			c.maybeStarted = false
		}
		if !c.shouldRetry(err) {
			break
		}
	}
	if last == nil {
		last = ctx.Err()
	}
	partial := Answer{ID: c.id, Costs: c.failureCosts, Resumed: c.resumed}
	if c.maybeStarted {
		return partial, verdict.AfterSend(last)
	}
	if verdict.Of(last) == verdict.Unknown {
		return partial, verdict.New(verdict.NotRun, verdict.As(last).Reason, "client: nothing was sent: %w", last)
	}
	return partial, last
}

// selectNode returns the node to send the request to. A request that may have started goes to
// the issuer of its id first, unless the issuer is marked unavailable.
func (c *call) selectNode(ctx context.Context, try int) (netip.AddrPort, error) {
	nodes, err := c.client.candidateNodes(ctx)
	if c.maybeStarted {
		nodes = c.client.preferAvailable(slices.Concat([]netip.AddrPort{c.id.Issuer}, nodes))
		if c.client.isUnavailable(nodes[0]) {
			return nodes[try%len(nodes)], nil
		}
		return nodes[0], nil
	}
	if err != nil {
		return netip.AddrPort{}, err
	}
	for _, node := range nodes {
		id, err := c.client.acquireID(ctx, node)
		if err == nil {
			c.id = id
			return node, nil
		}
	}
	return netip.AddrPort{}, verdict.New(verdict.NotRun, verdict.ReasonConnection, "client: no node gives ids")
}

// shouldRetry reports whether to send the request again after err. It also updates which nodes
// are unavailable, which ids are valid and how often the answer was resumed.
func (c *call) shouldRetry(err error) bool {
	e := verdict.As(err)
	switch e.Reason {
	case verdict.ReasonLeaving, verdict.ReasonNotReady:
		c.client.markUnavailable(c.node)
		if c.maybeStarted {
			c.resumed++
			c.client.markUnavailable(c.id.Issuer)
		}
		return c.repeatable || !c.maybeStarted
	case verdict.ReasonConnection:
		c.client.markUnavailable(c.node)
		c.resumed++
		return true
	case verdict.ReasonIssuerGone:
		c.client.discardIDs(c.id.Issuer)
		return c.repeatable
	case verdict.ReasonIssuerUnreachable:
		// The issuer may become reachable again, and only it knows whether the request ran.
		return true
	case verdict.ReasonBadID, verdict.ReasonExpiredID:
		c.client.discardIDs(c.id.Issuer)
		return !c.maybeStarted
	default:
		return false
	}
}

// send posts the request under its id and reads the answer. A node that has already started
// the request continues to send its answer.
func (c *call) send(ctx context.Context, node netip.AddrPort) (*request.Done, error) {
	c.node = node
	spec := c.spec
	if c.maybeStarted && c.repeatable && c.attempt > 0 {
		spec.Resume = c.resumePoint()
	}
	body, err := json.Marshal(spec)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "client: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(responseTimeout, cancel)
	defer idleTimer.Stop()
	target := fmt.Sprintf("http://%s/v1/requests", node)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "client: %w", err)
	}
	c.client.setHeaders(r, c.id)
	response, err := c.client.http.Do(r)
	if err != nil {
		return nil, c.connectionError(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		err := decodeRefusal(response.Body)
		c.maybeStarted = c.maybeStarted || verdict.Of(err) != verdict.NotRun
		return nil, err
	}
	c.maybeStarted = true
	return c.readEvents(&watchedBody{Reader: response.Body, idleTimer: idleTimer})
}

// resumePoint returns the checkpoint from which another node may continue. Its attempt is the
// highest one seen, so that the answer of the other node replaces the text received so far.
func (c *call) resumePoint() *request.Checkpoint {
	latest := request.Checkpoint{}
	if c.checkpoint != nil {
		latest = *c.checkpoint
	}
	latest.Attempt = c.attempt
	return &latest
}

// connectionError returns an error with the verdict for a request that got no response. A failure
// to connect does not change whether the request may have started. After any other failure it may
// have started.
func (c *call) connectionError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" && !c.maybeStarted {
		return verdict.New(verdict.NotRun, verdict.ReasonConnection, "client: %w", err)
	}
	c.maybeStarted = true
	return verdict.New(verdict.Unknown, verdict.ReasonConnection, "client: %w", err)
}

// watchedBody is a response body that is canceled if no data arrives for idleTimeout.
// A running node sends a keep-alive every second.
type watchedBody struct {
	io.Reader
	// idleTimer cancels the request when it fires.
	idleTimer *time.Timer
}

// Read resets the timer and reads from the body.
func (w *watchedBody) Read(b []byte) (int, error) {
	w.idleTimer.Reset(idleTimeout)
	return w.Reader.Read(b)
}

// readEvents reads the events of one connection up to the end of the answer or a failure.
func (c *call) readEvents(body io.Reader) (*request.Done, error) {
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return nil, verdict.New(verdict.Unknown, verdict.ReasonConnection, "client: %w", err)
		}
		e, err := request.DecodeEvent(event.Type, []byte(event.Data))
		if err != nil {
			return nil, verdict.New(verdict.Unknown, verdict.ReasonBadAnswer, "client: %w", err)
		}
		switch e.Type {
		case request.EventAccepted:
			c.handleAccepted(*e.Accepted)
		case request.EventCheckpoint:
			c.checkpoint = e.Checkpoint
		case request.EventChunk:
			if err := c.handleChunk(*e.Chunk); err != nil {
				return nil, err
			}
		case request.EventFailed:
			c.failureCosts = e.Failed.Costs
			return nil, e.Failed.Err()
		case request.EventDone:
			return e.Done, nil
		}
	}
	return nil, verdict.New(verdict.Unknown, verdict.ReasonConnection, "client: the answer was cut off")
}

func (c *call) handleAccepted(a request.Accepted) {
	c.repeatable = c.repeatable && a.Repeatable
	c.startAttempt(a.Attempt)
}

// startAttempt switches to a higher attempt and discards the text of lower ones.
func (c *call) startAttempt(attempt int) {
	if attempt <= c.attempt {
		return
	}
	c.attempt = attempt
	if len(c.chunks) > 0 && c.observer.Restart != nil {
		c.observer.Restart()
	}
	c.chunks = nil
}

// handleChunk adds a chunk to the text. It ignores chunks of lower attempts and chunks that
// were already received.
func (c *call) handleChunk(chunk request.Chunk) error {
	if chunk.Attempt < c.attempt || chunk.Attempt == c.attempt && chunk.Sequence < len(c.chunks) {
		return nil
	}
	c.startAttempt(chunk.Attempt)
	if chunk.Sequence != len(c.chunks) {
		return verdict.New(verdict.Unknown, verdict.ReasonBadAnswer, "client: got chunk %d, want %d", chunk.Sequence, len(c.chunks))
	}
	if len(c.chunks) == 0 {
		c.firstTextAfter = time.Since(c.startedAt)
	}
	c.chunks = append(c.chunks, chunk.Text)
	if c.observer.Text != nil {
		c.observer.Text(chunk.Text)
	}
	return nil
}

// buildAnswer returns the answer after checking that it was received completely.
func (c *call) buildAnswer(done request.Done) (Answer, error) {
	text := strings.Join(c.chunks, "")
	digest := request.NewDigest()
	digest.Add(text)
	if done.ID != c.id || done.Attempt != c.attempt || done.Chunks != len(c.chunks) || done.Digest != digest.Sum() {
		return Answer{ID: c.id}, verdict.New(verdict.Unknown, verdict.ReasonBadAnswer, "client: the answer of %s is not whole", c.id)
	}
	return Answer{ID: c.id, Text: text, Node: c.node, Attempt: c.attempt, Costs: done.Costs, Resumed: c.resumed, First: c.firstTextAfter}, nil
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
