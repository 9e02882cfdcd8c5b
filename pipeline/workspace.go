// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package pipeline

import "fmt"

// MaxPipelines limits the pipelines of one workspace.
const MaxPipelines = 256

// MaxWeight limits the weight of a workspace.
const MaxWeight = 1000

// Parameters are a workspace's settings for one pipeline. A zero field selects the value of
// the template.
type Parameters struct {
	// Stages selects the stages to run, which keep the order of the template; if empty, all
	// stages run.
	Stages []string `json:"stages,omitempty"`
	// Model replaces the template's model.
	Model string `json:"model,omitempty"`
	// Adapter replaces the template's adapter.
	Adapter string `json:"adapter,omitempty"`
	// MaxWait is the longest deadline that the workspace may ask for.
	MaxWait Duration `json:"max_wait,omitempty"`
	// Class replaces the template's class.
	Class Class `json:"class,omitempty"`
}

// Workspace is the published value of one workspace.
type Workspace struct {
	// Format is always the constant Format.
	Format int `json:"format"`
	// Name equals the last part of the key under which the workspace is published.
	Name string `json:"name"`
	// Customer is the customer that the workspace belongs to.
	Customer string `json:"customer"`
	// Weight is the workspace's weight in fair queueing, from 1 to MaxWeight.
	Weight int `json:"weight"`
	// Pipelines has the pipelines that the workspace may call, by template name.
	Pipelines map[string]Parameters `json:"pipelines"`
}

// Check returns an error for the first invalid field of w. It does not check whether the
// templates exist.
func (w Workspace) Check() error {
	if err := checkFormat(w.Format); err != nil {
		return err
	}
	if err := CheckName("workspace name", w.Name); err != nil {
		return err
	}
	if err := CheckName("customer", w.Customer); err != nil {
		return err
	}
	if w.Weight < 1 || w.Weight > MaxWeight {
		return fmt.Errorf("pipeline: workspace %s: weight %d, want 1 to %d", w.Name, w.Weight, MaxWeight)
	}
	if len(w.Pipelines) > MaxPipelines {
		return fmt.Errorf("pipeline: workspace %s has %d pipelines, at most %d are allowed", w.Name, len(w.Pipelines), MaxPipelines)
	}
	for name, p := range w.Pipelines {
		if err := p.check(name); err != nil {
			return fmt.Errorf("pipeline: workspace %s: %w", w.Name, err)
		}
	}
	return nil
}

func (p Parameters) check(name string) error {
	if err := CheckName("pipeline", name); err != nil {
		return err
	}
	if len(p.Stages) > MaxStages {
		return fmt.Errorf("pipeline %s selects %d stages, at most %d are allowed", name, len(p.Stages), MaxStages)
	}
	if p.MaxWait != 0 {
		if err := checkDeadline("max_wait", p.MaxWait); err != nil {
			return err
		}
	}
	for _, n := range []string{p.Model, p.Adapter} {
		if n == "" {
			continue
		}
		if err := CheckName("model or adapter", n); err != nil {
			return err
		}
	}
	return p.Class.check()
}

// Resolve applies the parameters of w to t: the selected stages, the model, the adapter, the
// longest deadline and the class. It fails if w does not have the pipeline t, or selects a
// stage that t does not have.
func (w Workspace) Resolve(t Template) (Template, error) {
	p, ok := w.Pipelines[t.Name]
	if !ok {
		return Template{}, fmt.Errorf("pipeline: workspace %s has no pipeline %s", w.Name, t.Name)
	}
	stages, err := p.selectStages(t)
	if err != nil {
		return Template{}, err
	}
	for i := range stages {
		if stages[i].Kind == KindEngine {
			stages[i].Model = orElse(p.Model, stages[i].Model)
			stages[i].Adapter = orElse(p.Adapter, stages[i].Adapter)
		}
	}
	t.Stages = stages
	t.Class = orElse(p.Class, orElse(t.Class, ClassInteractive))
	if p.MaxWait != 0 {
		t.Deadline = p.MaxWait
	}
	return t, nil
}

func (p Parameters) selectStages(t Template) ([]Stage, error) {
	if len(p.Stages) == 0 {
		return append([]Stage(nil), t.Stages...), nil
	}
	selected := make(map[string]bool, len(p.Stages))
	for _, n := range p.Stages {
		selected[n] = true
	}
	stages := make([]Stage, 0, len(selected))
	for _, s := range t.Stages {
		if selected[s.Name] {
			stages = append(stages, s)
		}
	}
	if len(stages) != len(selected) {
		return nil, fmt.Errorf("pipeline: template %s does not have all of the stages %v", t.Name, p.Stages)
	}
	return stages, nil
}

func orElse[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}
