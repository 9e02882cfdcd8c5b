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
	// maxResumes limits how often one stream is resumed.
	maxResumes    = 3
	resumeBackoff = 50 * time.Millisecond
	// stallTimeout is how long a stream may be silent before it is resumed, and restarted on
	// another server if that fails.
	stallTimeout  = 8 * time.Second
	cancelTimeout = time.Second
	// Priorities of calls to engines: lower values are served first.
	priorityUrgent     = 0
	priorityBackground = 10
)

// prompt expands the template's prompt.
func (j *job) prompt(s *step) string {
	text := s.Prompt
	if text == "" {
		text = "{previous}\n{input}"
	}
	return strings.NewReplacer("{previous}", string(j.previous), "{input}", j.spec.Input).Replace(text)
}

// prefix identifies the part of the prompt that all requests of the pipeline share, so that
// engines that have it cached are preferred.
func (j *job) prefix(s *step) uint64 {
	head, _, _ := strings.Cut(s.Prompt, "{")
	return protocol.PrefixOf(s.Model, s.Adapter, head)
}

// generate runs an engine stage. If it is the last stage, its text is streamed to the caller.
func (n *Node) generate(ctx context.Context, j *job, s *step, call backend.Call, last bool) (json.RawMessage, backend.Report, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	openTimer := time.AfterFunc(openTimeout(j, s), func() { cancel(errOpenTimeout) })
	stream, report, err := n.openStream(ctx, j, s, &call, last)
	if !openTimer.Stop() || err != nil {
		if stream != nil {
			stream.Close()
		}
		return nil, report, openError(ctx, err)
	}
	var text strings.Builder
	for tries := 0; ; tries++ {
		err = n.readStream(ctx, j, stream, last, &text)
		if err == nil {
			// The engine has just processed the prefix, whatever its cache events say.
			s.pool.SetPrefixHolder(j.prefix(s), call.Server, true)
			result, marshalErr := json.Marshal(text.String())
			return result, report, marshalErr
		}
		if ctx.Err() != nil || verdict.As(err).Reason == verdict.ReasonTooLarge {
			n.cancelStream(call, stream.ID)
			return nil, report, err
		}
		resumed := n.resumeStream(ctx, call, stream, tries)
		if resumed == nil {
			n.cancelStream(call, stream.ID)
			return nil, report, err
		}
		stream = resumed
	}
}

var errOpenTimeout = errors.New("node: the engine did not begin its answer in time")

// openTimeout returns how long an engine may take to begin its answer.
func openTimeout(j *job, s *step) time.Duration {
	return max(callTimeout(j, s), stallTimeout)
}

func openError(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errOpenTimeout) {
		return verdict.New(verdict.Unknown, verdict.ReasonServerFailed, "%w", errOpenTimeout)
	}
	return err
}

// openStream starts the completion, or resumes the stream named by the caller's checkpoint.
func (n *Node) openStream(ctx context.Context, j *job, s *step, call *backend.Call, last bool) (*backend.Stream, backend.Report, error) {
	if stream, report := n.resumeCheckpoint(ctx, j, call); stream != nil {
		return stream, report, nil
	}
	if last && j.run.Chunks() > 0 {
		// The chunks that the caller has are from another stream: restart.
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
		body.Priority = priorityBackground
	}
	stream, report, err := n.backends.Complete(ctx, *call, body)
	if err != nil {
		return nil, report, err
	}
	j.checkpoint(&request.StreamRef{Server: call.Server, ID: stream.ID})
	return stream, report, nil
}

// resumeCheckpoint resumes the stream that another node started for this request. It is tried
// once, and only on a server that the host list assigns to a pool.
func (n *Node) resumeCheckpoint(ctx context.Context, j *job, call *backend.Call) (*backend.Stream, backend.Report) {
	c := j.spec.Resume
	if c == nil || c.Stream == nil || j.resumeTried || c.Finished != j.finished {
		return nil, backend.Report{}
	}
	j.resumeTried = true
	if h, ok := n.hosts.Get(c.Stream.Server.String()); !ok || h.Pool == "" {
		return nil, backend.Report{}
	}
	resumeCall := *call
	resumeCall.Server = c.Stream.Server
	stream, report, err := n.backends.Resume(ctx, resumeCall, c.Stream.ID, 0)
	if err != nil {
		return nil, report
	}
	*call = resumeCall
	n.scope.Counter("streams_taken_up").Inc(1)
	j.checkpoint(c.Stream)
	return stream, report
}

// readStream reads until the end or failure of the stream, and always closes it.
func (n *Node) readStream(ctx context.Context, j *job, stream *backend.Stream, last bool, text *strings.Builder) error {
	defer stream.Close()
	stall := time.AfterFunc(stallTimeout, stream.Close)
	defer stall.Stop()
	for piece, err := range stream.Pieces() {
		if err != nil {
			return err
		}
		stall.Reset(stallTimeout)
		if last && !n.appendChunk(j, piece.Text) {
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

// resumeStream resumes an interrupted stream after the last piece received. It returns nil on
// failure.
func (n *Node) resumeStream(ctx context.Context, call backend.Call, stream *backend.Stream, tries int) *backend.Stream {
	if tries >= maxResumes {
		return nil
	}
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(resumeBackoff << tries):
	}
	resumed, _, err := n.backends.Resume(ctx, call, stream.ID, stream.Next())
	if err != nil {
		return nil
	}
	n.scope.Counter("streams_resumed").Inc(1)
	return resumed
}

// cancelStream cancels a stream that is no longer read, to free the engine.
func (n *Node) cancelStream(call backend.Call, id string) {
	n.runs.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = n.backends.Cancel(ctx, call, id)
	})
}
