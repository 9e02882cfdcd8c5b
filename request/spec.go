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

// Spec is the specification of a request.
type Spec struct {
	// Workspace is the name of the published workspace.
	Workspace string `json:"workspace"`
	// Pipeline is the name of the published template.
	Pipeline string `json:"pipeline"`
	// Input is the caller's text, at most MaxInputBytes.
	Input string `json:"input"`
	// Deadline is how long the caller waits; 0 selects the default of the workspace.
	Deadline pipeline.Duration `json:"deadline,omitempty"`
	// Unrepeatable requires that the request runs at most once.
	Unrepeatable bool `json:"unrepeatable,omitempty"`
	// Resume continues an interrupted attempt. It must be nil for an unrepeatable request.
	Resume *Checkpoint `json:"resume,omitempty"`
}

// Check returns an error for the first invalid field of s.
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

// Checkpoint is the state of a repeatable request that the caller holds, so that another node
// can resume the request. Finished stages are not run again.
type Checkpoint struct {
	// Attempt is the number of the attempt that wrote the checkpoint, from 1.
	Attempt int `json:"attempt"`
	// Finished is the name of the last finished stage; empty if there is none.
	Finished string `json:"finished,omitempty"`
	// Result is the result of that stage.
	Result json.RawMessage `json:"result,omitempty"`
	// Stream is set while an engine streams the next stage.
	Stream *StreamRef `json:"stream,omitempty"`
}

// StreamRef identifies a stream of an engine.
type StreamRef struct {
	// Server is the address of the engine.
	Server netip.AddrPort `json:"server"`
	// ID is the engine's id of the stream.
	ID string `json:"id"`
}

// Check returns an error for the first invalid field of c.
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

// Addresses is the answer to a request for addresses.
type Addresses struct {
	// Addresses are ordered by preference; if one fails, a caller tries the next.
	Addresses []netip.AddrPort `json:"addresses"`
	// TTL is how long a caller may cache the answer.
	TTL pipeline.Duration `json:"hold"`
	// IDs are fresh ids issued by the answering node, each for one request.
	IDs []ID `json:"ids"`
	// IDsValid is how long the ids may be used from now.
	IDsValid pipeline.Duration `json:"ids_valid"`
	// Era and Revision are the highest revision of the configuration at the node, and the era of
	// the configuration service that assigned it; 0 if the service has no eras.
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"revision"`
}
