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

// Answer is a whole answer.
type Answer struct {
	ID   request.ID
	Text string
	// Node is the one that ended the answer.
	Node    netip.AddrPort
	Attempt int
	// Costs has what each stage took.
	Costs []request.StageCost
	// Resumed counts how often the answer was cut off and taken up again.
	Resumed int
	// First is how long the first text took.
	First time.Duration
}

// Observer is told of the text as it comes. After a restart, what was told
// before is void.
type Observer struct {
	Text    func(text string)
	Restart func()
}

const (
	maxTries    = 8
	retryPause  = 50 * time.Millisecond
	maxEvent    = 4 << 20
	maxTryPause = time.Second
	// answerFor is how long a node may take to begin to answer: one that has
	// accepted says so at once, and one that stands still says nothing.
	answerFor = 1500 * time.Millisecond
	// aliveFor is how long a stream may bring nothing, not even a sign that
	// its node runs.
	aliveFor = 4 * time.Second
)

// Do runs one request and returns its whole answer. An error bears a verdict:
// NotRun means that the request did not run and may be sent again.
func (c *Client) Do(ctx context.Context, spec request.Spec) (Answer, error) {
	return c.Stream(ctx, spec, Observer{})
}

// Stream is Do, with the text told as it comes.
func (c *Client) Stream(ctx context.Context, spec request.Spec, observer Observer) (Answer, error) {
	call := &call{client: c, spec: spec, observer: observer, begin: time.Now(), repeatable: !spec.Unrepeatable}
	return call.run(ctx)
}

// call is one request under way.
type call struct {
	client   *Client
	spec     request.Spec
	observer Observer
	begin    time.Time
	id       request.ID
	// sent says that a node may have begun under id.
	sent bool
	// repeatable says that another node may go on.
	repeatable bool
	checkpoint *request.Checkpoint
	attempt    int
	chunks     []string
	first      time.Duration
	resumed    int
	node       netip.AddrPort
	// costs are those of a failure.
	costs []request.StageCost
}

func (c *call) run(ctx context.Context) (Answer, error) {
	var last error
	for try := range maxTries {
		if try > 0 {
			pause(ctx, min(retryPause<<(try-1), maxTryPause))
		}
		if ctx.Err() != nil {
			break
		}
		node, err := c.target(ctx, try)
		if err != nil {
			last = err
			continue
		}
		done, err := c.send(ctx, node)
		if err == nil {
			return c.answer(*done)
		}
		last = err
		if verdict.As(err).Settled {
			// The issuer vouches for every copy that was sent.
			c.sent = false
		}
		if !c.again(err) {
			break
		}
	}
	if last == nil {
		last = ctx.Err()
	}
	none := Answer{ID: c.id, Costs: c.costs, Resumed: c.resumed}
	if c.sent {
		return none, verdict.AfterSend(last)
	}
	if verdict.Of(last) == verdict.Unknown {
		return none, verdict.New(verdict.NotRun, verdict.As(last).Reason, "client: nothing was sent: %w", last)
	}
	return none, last
}

// target returns the node to send to. A request that may have begun goes back
// to its issuer first, unless that one did not answer lately.
func (c *call) target(ctx context.Context, try int) (netip.AddrPort, error) {
	nodes, err := c.client.nodes(ctx)
	if c.sent {
		nodes = c.client.order(slices.Concat([]netip.AddrPort{c.id.Issuer}, nodes))
		if c.client.isBad(nodes[0]) {
			return nodes[try%len(nodes)], nil
		}
		return nodes[0], nil
	}
	if err != nil {
		return netip.AddrPort{}, err
	}
	for _, node := range nodes {
		id, err := c.client.takeID(ctx, node)
		if err == nil {
			c.id = id
			return node, nil
		}
	}
	return netip.AddrPort{}, verdict.New(verdict.NotRun, verdict.ReasonConnection, "client: no node gives ids")
}

// again decides what a failure means for the next try.
func (c *call) again(err error) bool {
	e := verdict.As(err)
	switch e.Reason {
	case verdict.ReasonLeaving, verdict.ReasonNotReady:
		c.client.markBad(c.node)
		if c.sent {
			c.resumed++
			c.client.markBad(c.id.Issuer)
		}
		return c.repeatable || !c.sent
	case verdict.ReasonConnection:
		c.client.markBad(c.node)
		c.resumed++
		return true
	case verdict.ReasonIssuerGone:
		c.client.dropIDs(c.id.Issuer)
		return c.repeatable
	case verdict.ReasonIssuerUnreachable:
		// The issuer may come back, and only it can tell.
		return true
	case verdict.ReasonBadID, verdict.ReasonExpiredID:
		c.client.dropIDs(c.id.Issuer)
		return !c.sent
	default:
		return false
	}
}

// send posts the request under its id. A node that has begun it already goes
// on telling its answer.
func (c *call) send(ctx context.Context, node netip.AddrPort) (*request.Done, error) {
	c.node = node
	spec := c.spec
	if c.sent && c.repeatable && c.attempt > 0 {
		spec.Resume = c.resume()
	}
	body, err := json.Marshal(spec)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "client: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silent := time.AfterFunc(answerFor, cancel)
	defer silent.Stop()
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
		err := refusal(response.Body)
		c.sent = c.sent || verdict.Of(err) != verdict.NotRun
		return nil, err
	}
	c.sent = true
	return c.read(&watched{Reader: response.Body, silent: silent})
}

// resume returns where another node may go on. Its attempt is the highest seen,
// so that what the other node tells replaces what is held.
func (c *call) resume() *request.Checkpoint {
	resume := request.Checkpoint{}
	if c.checkpoint != nil {
		resume = *c.checkpoint
	}
	resume.Attempt = c.attempt
	return &resume
}

// connectionError judges a failure to get an answer: a failure to connect
// leaves things as they are, everything else may have begun the request.
func (c *call) connectionError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" && !c.sent {
		return verdict.New(verdict.NotRun, verdict.ReasonConnection, "client: %w", err)
	}
	c.sent = true
	return verdict.New(verdict.Unknown, verdict.ReasonConnection, "client: %w", err)
}

// watched gives a connection up on which nothing comes for aliveFor: a node that
// runs shows so every second.
type watched struct {
	io.Reader
	silent *time.Timer
}

// Read reads on and puts the time off.
func (w *watched) Read(b []byte) (int, error) {
	w.silent.Reset(aliveFor)
	return w.Reader.Read(b)
}

// read takes in the events of one connection.
func (c *call) read(body io.Reader) (*request.Done, error) {
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEvent}) {
		if err != nil {
			return nil, verdict.New(verdict.Unknown, verdict.ReasonConnection, "client: %w", err)
		}
		e, err := request.DecodeEvent(event.Type, []byte(event.Data))
		if err != nil {
			return nil, verdict.New(verdict.Unknown, verdict.ReasonBadAnswer, "client: %w", err)
		}
		switch e.Type {
		case request.EventAccepted:
			c.accepted(*e.Accepted)
		case request.EventCheckpoint:
			c.checkpoint = e.Checkpoint
		case request.EventChunk:
			if err := c.chunk(*e.Chunk); err != nil {
				return nil, err
			}
		case request.EventFailed:
			c.costs = e.Failed.Costs
			return nil, e.Failed.Err()
		case request.EventDone:
			return e.Done, nil
		}
	}
	return nil, verdict.New(verdict.Unknown, verdict.ReasonConnection, "client: the answer was cut off")
}

func (c *call) accepted(a request.Accepted) {
	c.repeatable = c.repeatable && a.Repeatable
	c.restart(a.Attempt)
}

// restart drops the text of lower attempts.
func (c *call) restart(attempt int) {
	if attempt <= c.attempt {
		return
	}
	c.attempt = attempt
	if len(c.chunks) > 0 && c.observer.Restart != nil {
		c.observer.Restart()
	}
	c.chunks = nil
}

func (c *call) chunk(chunk request.Chunk) error {
	if chunk.Attempt < c.attempt || chunk.Attempt == c.attempt && chunk.Sequence < len(c.chunks) {
		return nil
	}
	c.restart(chunk.Attempt)
	if chunk.Sequence != len(c.chunks) {
		return verdict.New(verdict.Unknown, verdict.ReasonBadAnswer, "client: got chunk %d, want %d", chunk.Sequence, len(c.chunks))
	}
	if len(c.chunks) == 0 {
		c.first = time.Since(c.begin)
	}
	c.chunks = append(c.chunks, chunk.Text)
	if c.observer.Text != nil {
		c.observer.Text(chunk.Text)
	}
	return nil
}

// answer checks that what was read is whole.
func (c *call) answer(done request.Done) (Answer, error) {
	text := strings.Join(c.chunks, "")
	digest := request.NewDigest()
	digest.Add(text)
	if done.ID != c.id || done.Attempt != c.attempt || done.Chunks != len(c.chunks) || done.Digest != digest.Sum() {
		return Answer{ID: c.id}, verdict.New(verdict.Unknown, verdict.ReasonBadAnswer, "client: the answer of %s is not whole", c.id)
	}
	return Answer{ID: c.id, Text: text, Node: c.node, Attempt: c.attempt, Costs: done.Costs, Resumed: c.resumed, First: c.first}, nil
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
