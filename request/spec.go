// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package request

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"github.com/wingvale/wingvale/pipeline"
)

// Limits of one request.
const (
	MaxInputBytes      = 256 << 10
	MaxCheckpointBytes = 1 << 20
	MaxBodyBytes       = 2 << 20
	MaxAnswerBytes     = 4 << 20
	MaxAttempt         = 1 << 16
)

// Spec is what a caller asks for.
type Spec struct {
	// Workspace names the published workspace.
	Workspace string `json:"workspace"`
	// Pipeline names the published template.
	Pipeline string `json:"pipeline"`
	// Input is the caller's text, at most MaxInputBytes.
	Input string `json:"input"`
	// Deadline is how long the caller waits; 0 leaves it to the workspace.
	Deadline pipeline.Duration `json:"deadline,omitempty"`
	// Unrepeatable asks that the request runs at most once.
	Unrepeatable bool `json:"unrepeatable,omitempty"`
	// Resume is set to go on where an earlier attempt was cut off. It must be
	// nil for an unrepeatable request.
	Resume *Checkpoint `json:"resume,omitempty"`
}

// Check reports the first thing wrong with s.
func (s Spec) Check() error {
	if err := pipeline.CheckName("workspace", s.Workspace); err != nil {
		return err
	}
	if err := pipeline.CheckName("pipeline", s.Pipeline); err != nil {
		return err
	}
	if len(s.Input) > MaxInputBytes {
		return fmt.Errorf("request: the input has %d bytes, at most %d are allowed", len(s.Input), MaxInputBytes)
	}
	if s.Deadline.Std() > pipeline.MaxDeadline {
		return fmt.Errorf("request: deadline %v, at most %v is allowed", s.Deadline.Std(), pipeline.MaxDeadline)
	}
	if s.Resume == nil {
		return nil
	}
	if s.Unrepeatable {
		return fmt.Errorf("request: an unrepeatable request cannot resume from a checkpoint")
	}
	return s.Resume.Check()
}

// Checkpoint is what a caller holds of a repeatable request, so that another
// node can go on from there. Finished stages are not run again.
type Checkpoint struct {
	// Attempt numbers the run that wrote the checkpoint, from 1.
	Attempt int `json:"attempt"`
	// Finished names the last stage that ended; empty if none has.
	Finished string `json:"finished,omitempty"`
	// Result is that stage's result.
	Result json.RawMessage `json:"result,omitempty"`
	// Stream is set while an engine streams the next stage.
	Stream *StreamRef `json:"stream,omitempty"`
}

// StreamRef names a stream at an engine.
type StreamRef struct {
	// Server is the engine's address.
	Server netip.AddrPort `json:"server"`
	// ID is the engine's name of the stream.
	ID string `json:"id"`
}

// Check reports the first thing wrong with c.
func (c Checkpoint) Check() error {
	if c.Attempt < 1 || c.Attempt > MaxAttempt {
		return fmt.Errorf("request: checkpoint attempt %d, want 1 to %d", c.Attempt, MaxAttempt)
	}
	if len(c.Result) > MaxCheckpointBytes {
		return fmt.Errorf("request: checkpoint of %d bytes, at most %d are allowed", len(c.Result), MaxCheckpointBytes)
	}
	if c.Finished != "" {
		if err := pipeline.CheckName("finished stage", c.Finished); err != nil {
			return err
		}
	}
	if c.Stream != nil && (!c.Stream.Server.IsValid() || len(c.Stream.ID) > pipeline.MaxNameBytes) {
		return fmt.Errorf("request: checkpoint names no valid stream")
	}
	return nil
}

// Addresses answers the question which addresses to use.
type Addresses struct {
	// Addresses has the best first; a caller takes the next where one fails.
	Addresses []netip.AddrPort `json:"addresses"`
	// Hold is how long a caller may keep the answer.
	Hold pipeline.Duration `json:"hold"`
	// IDs are fresh ids of the answering node, each for one request.
	IDs []ID `json:"ids"`
	// IDsValid is how long the ids may be used from now.
	IDsValid pipeline.Duration `json:"ids_valid"`
	// Revision is the highest configuration revision of the node.
	Revision uint64 `json:"revision"`
}
