// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package pipeline

import (
	"fmt"
	"regexp"
	"time"
)

// Format is the only format of published values that this release supports.
const Format = 1

// Limits of published values. A value beyond any of them is rejected as a whole.
const (
	MaxStages      = 16
	MaxNameBytes   = 64
	MaxPromptBytes = 16 << 10
	MaxDeadline    = 24 * time.Hour
	MaxTokens      = 1 << 20
)

// Kind selects the protocol of a stage's backend servers.
type Kind string

const (
	// KindPool is a stage pool: encoders, retrievers, rerankers.
	KindPool Kind = "pool"
	// KindEngine is a model engine, which streams its answer.
	KindEngine Kind = "engine"
	// KindService is a plain service other than a model engine.
	KindService Kind = "service"
)

// Class is the urgency of the work.
type Class string

const (
	// ClassInteractive is work whose caller is waiting.
	ClassInteractive Class = "interactive"
	// ClassBackground is long-running work that yields to interactive work.
	ClassBackground Class = "background"
)

// Stage is one step of a template.
type Stage struct {
	// Name is unique within the template.
	Name string `json:"name"`
	// Kind selects the protocol.
	Kind Kind `json:"kind"`
	// Pool is the name of the pool of backend servers that run the stage.
	Pool string `json:"pool"`
	// Model is set for engines only; a workspace may replace it.
	Model string `json:"model,omitempty"`
	// Adapter is set for engines only; a workspace may replace it.
	Adapter string `json:"adapter,omitempty"`
	// Prompt is set for engines only. The placeholders "{previous}" and "{input}" are replaced
	// by the result of the previous stage and the caller's input.
	Prompt string `json:"prompt,omitempty"`
	// MaxTokens limits the answer of an engine; 0 selects the limit of the engine.
	MaxTokens int `json:"max_tokens,omitempty"`
	// Unrepeatable is set if a call of the stage must never be sent twice.
	Unrepeatable bool `json:"unrepeatable,omitempty"`
	// DeadlineShare is the share of the deadline that the stage may use, from 0 to 1; 0 means no
	// limit.
	DeadlineShare float64 `json:"share,omitempty"`
}

// Template is the published value of a pipeline.
type Template struct {
	// Format is always the constant Format.
	Format int `json:"format"`
	// Name equals the last part of the key under which the template is published.
	Name string `json:"name"`
	// Stages has 1 to MaxStages entries with distinct names, in execution order.
	Stages []Stage `json:"stages"`
	// Deadline applies unless the caller or the workspace sets a shorter one.
	Deadline Duration `json:"deadline"`
	// Class applies unless the workspace sets one.
	Class Class `json:"class,omitempty"`
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*$`)

// CheckName returns an error unless name has 1 to MaxNameBytes lower-case letters, digits,
// dots, dashes and underscores, the first being a letter or a digit.
func CheckName(what, name string) error {
	if len(name) > MaxNameBytes {
		return fmt.Errorf("pipeline: %s has %d bytes, at most %d are allowed", what, len(name), MaxNameBytes)
	}
	if !namePattern.MatchString(name) {
		return fmt.Errorf("pipeline: %s %q: want lower-case letters, digits, '.', '-', '_'", what, name)
	}
	return nil
}

func checkFormat(format int) error {
	if format != Format {
		return fmt.Errorf("pipeline: format %d, this release supports %d", format, Format)
	}
	return nil
}

func checkDeadline(what string, d Duration) error {
	if d.Std() <= 0 || d.Std() > MaxDeadline {
		return fmt.Errorf("pipeline: %s %v: want more than 0 and at most %v", what, d.Std(), MaxDeadline)
	}
	return nil
}

func (c Class) check() error {
	switch c {
	case "", ClassInteractive, ClassBackground:
		return nil
	default:
		return fmt.Errorf("pipeline: class %q: want %q or %q", c, ClassInteractive, ClassBackground)
	}
}

// Check returns an error for the first invalid field of t.
func (t Template) Check() error {
	if err := checkFormat(t.Format); err != nil {
		return err
	}
	if err := CheckName("template name", t.Name); err != nil {
		return err
	}
	if err := checkDeadline("deadline", t.Deadline); err != nil {
		return err
	}
	if err := t.Class.check(); err != nil {
		return err
	}
	if len(t.Stages) == 0 || len(t.Stages) > MaxStages {
		return fmt.Errorf("pipeline: template %s has %d stages, want 1 to %d", t.Name, len(t.Stages), MaxStages)
	}
	return t.checkStages()
}

func (t Template) checkStages() error {
	seen := make(map[string]bool, len(t.Stages))
	shares := 0.0
	for _, s := range t.Stages {
		if err := s.check(); err != nil {
			return fmt.Errorf("pipeline: template %s: %w", t.Name, err)
		}
		if seen[s.Name] {
			return fmt.Errorf("pipeline: template %s: duplicate stage %s", t.Name, s.Name)
		}
		seen[s.Name] = true
		shares += s.DeadlineShare
	}
	if shares > 1 {
		return fmt.Errorf("pipeline: template %s: the shares add up to %.2f, at most 1 is allowed", t.Name, shares)
	}
	return nil
}

func (s Stage) check() error {
	if err := CheckName("stage name", s.Name); err != nil {
		return err
	}
	if err := CheckName("pool of stage "+s.Name, s.Pool); err != nil {
		return err
	}
	if s.DeadlineShare < 0 || s.DeadlineShare > 1 {
		return fmt.Errorf("stage %s: share %.2f, want 0 to 1", s.Name, s.DeadlineShare)
	}
	switch s.Kind {
	case KindEngine:
		return s.checkEngine()
	case KindPool, KindService:
		return s.checkNoEngineFields()
	default:
		return fmt.Errorf("stage %s: kind %q, want %q, %q or %q", s.Name, s.Kind, KindPool, KindEngine, KindService)
	}
}

func (s Stage) checkEngine() error {
	if err := CheckName("model of stage "+s.Name, s.Model); err != nil {
		return err
	}
	if s.Adapter != "" {
		if err := CheckName("adapter of stage "+s.Name, s.Adapter); err != nil {
			return err
		}
	}
	if len(s.Prompt) > MaxPromptBytes {
		return fmt.Errorf("stage %s: the prompt has %d bytes, at most %d are allowed", s.Name, len(s.Prompt), MaxPromptBytes)
	}
	if s.MaxTokens < 0 || s.MaxTokens > MaxTokens {
		return fmt.Errorf("stage %s: max_tokens %d, want 0 to %d", s.Name, s.MaxTokens, MaxTokens)
	}
	return nil
}

func (s Stage) checkNoEngineFields() error {
	if s.Model != "" || s.Adapter != "" || s.Prompt != "" || s.MaxTokens != 0 {
		return fmt.Errorf("stage %s: model, adapter, prompt and max_tokens are for kind %q only", s.Name, KindEngine)
	}
	return nil
}
