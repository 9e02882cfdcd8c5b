// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/wingvale/wingvale/internal/backend"
	"github.com/wingvale/wingvale/internal/protocol"
	"github.com/wingvale/wingvale/request"
	"github.com/wingvale/wingvale/verdict"
)

const (
	// resumes bounds how often one stream is taken up again.
	resumes     = 3
	resumePause = 50 * time.Millisecond
	// stallAfter is how long a stream may bring nothing before it is taken up
	// anew, and begun elsewhere if that brings nothing either.
	stallAfter = 8 * time.Second
	cancelFor  = time.Second
	// Priorities of engines: lower comes first.
	priorityUrgent  = 0
	priorityPatient = 10
)

// prompt fills the template's prompt.
func (j *job) prompt(s *step) string {
	text := s.Prompt
	if text == "" {
		text = "{previous}\n{input}"
	}
	return strings.NewReplacer("{previous}", string(j.previous), "{input}", j.spec.Input).Replace(text)
}

// prefix names the part of the prompt that requests of the pipeline share, so
// that an engine that holds it is preferred.
func (j *job) prefix(s *step) uint64 {
	head, _, _ := strings.Cut(s.Prompt, "{")
	return protocol.PrefixOf(s.Model, s.Adapter, head)
}

// generate runs an engine stage. If it is the last one, its text goes to the
// caller as it comes.
func (n *Node) generate(ctx context.Context, j *job, s *step, call backend.Call, last bool) (json.RawMessage, backend.Report, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	opening := time.AfterFunc(openPatience(j, s), func() { cancel(errOpening) })
	stream, report, err := n.openStream(ctx, j, s, &call, last)
	if !opening.Stop() || err != nil {
		if stream != nil {
			stream.Close()
		}
		return nil, report, openError(ctx, err)
	}
	var text strings.Builder
	for tries := 0; ; tries++ {
		err = n.readStream(ctx, j, stream, last, &text)
		if err == nil {
			// Whatever its events say, the engine has just had the prefix.
			s.pool.Warm(j.prefix(s), call.Server, true)
			result, marshalErr := json.Marshal(text.String())
			return result, report, marshalErr
		}
		if ctx.Err() != nil || verdict.As(err).Reason == verdict.ReasonTooLarge {
			n.cancelStream(call, stream.ID)
			return nil, report, err
		}
		again := n.resumeStream(ctx, call, stream, tries)
		if again == nil {
			n.cancelStream(call, stream.ID)
			return nil, report, err
		}
		stream = again
	}
}

var errOpening = errors.New("node: the engine does not begin to answer")

// openPatience is how long an engine may take to begin to answer.
func openPatience(j *job, s *step) time.Duration {
	return max(patience(j, s), stallAfter)
}

func openError(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errOpening) {
		return verdict.New(verdict.Unknown, verdict.ReasonServerFailed, "%w", errOpening)
	}
	return err
}

// openStream starts the completion, or takes up the one that the caller's
// checkpoint names.
func (n *Node) openStream(ctx context.Context, j *job, s *step, call *backend.Call, last bool) (*backend.Stream, backend.Report, error) {
	if stream, report := n.takeUp(ctx, j, call); stream != nil {
		return stream, report, nil
	}
	if last && j.run.Chunks() > 0 {
		// What the caller holds came from another stream: begin anew.
		j.run.Restart()
		j.digest = request.NewDigest()
	}
	body := protocol.Completion{
		Model:     s.Model,
		Adapter:   s.Adapter,
		Prompt:    j.prompt(s),
		MaxTokens: s.MaxTokens,
		Priority:  priorityUrgent,
		User:      j.workspace.Name,
	}
	if j.background() {
		body.Priority = priorityPatient
	}
	stream, report, err := n.backends.Complete(ctx, *call, body)
	if err != nil {
		return nil, report, err
	}
	j.checkpoint(&request.StreamRef{Server: call.Server, ID: stream.ID})
	return stream, report, nil
}

// takeUp goes on with the stream that another node began for this request. It
// is tried once, and only at a server that the host list has for the stage.
func (n *Node) takeUp(ctx context.Context, j *job, call *backend.Call) (*backend.Stream, backend.Report) {
	c := j.spec.Resume
	if c == nil || c.Stream == nil || j.tookUp || c.Finished != j.finished {
		return nil, backend.Report{}
	}
	j.tookUp = true
	if h, ok := n.hosts.Get(c.Stream.Server.String()); !ok || h.Pool == "" {
		return nil, backend.Report{}
	}
	at := *call
	at.Server = c.Stream.Server
	stream, report, err := n.backends.Resume(ctx, at, c.Stream.ID, 0)
	if err != nil {
		return nil, report
	}
	*call = at
	n.scope.Counter("streams_taken_up").Inc(1)
	j.checkpoint(c.Stream)
	return stream, report
}

// readStream reads until the stream's end or its failure. The stream is closed
// in any case.
func (n *Node) readStream(ctx context.Context, j *job, stream *backend.Stream, last bool, text *strings.Builder) error {
	defer stream.Close()
	stall := time.AfterFunc(stallAfter, stream.Close)
	defer stall.Stop()
	for piece, err := range stream.Pieces() {
		if err != nil {
			return err
		}
		stall.Reset(stallAfter)
		if last && !n.chunk(j, piece.Text) {
			return errAnswerTooLarge()
		}
		if !last && text.Len()+len(piece.Text) > protocol.MaxResultBytes {
			return errAnswerTooLarge()
		}
		if !last {
			text.WriteString(piece.Text)
		}
	}
	return ctx.Err()
}

// resumeStream takes up a stream that was cut off, at the piece after the last
// one that came. It returns nil where that fails.
func (n *Node) resumeStream(ctx context.Context, call backend.Call, stream *backend.Stream, tries int) *backend.Stream {
	if tries >= resumes {
		return nil
	}
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(resumePause << tries):
	}
	again, _, err := n.backends.Resume(ctx, call, stream.ID, stream.Next())
	if err != nil {
		return nil
	}
	n.scope.Counter("streams_resumed").Inc(1)
	return again
}

// cancelStream frees the engine of a stream that nobody reads any more.
func (n *Node) cancelStream(call backend.Call, id string) {
	n.runs.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelFor)
		defer cancel()
		_ = n.backends.Cancel(ctx, call, id)
	})
}
