// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package pipeline

import "fmt"

// MaxPipelines bounds the pipelines of one workspace.
const MaxPipelines = 256

// MaxWeight bounds a workspace's weight.
const MaxWeight = 1000

// Parameters are one workspace's settings of one pipeline. A zero field leaves
// what the template says.
type Parameters struct {
	// Stages names the stages that run, in the template's order; none is all.
	Stages []string `json:"stages,omitempty"`
	// Model answers instead of the template's model.
	Model string `json:"model,omitempty"`
	// Adapter answers instead of the template's adapter.
	Adapter string `json:"adapter,omitempty"`
	// MaxWait is the longest deadline that the workspace may ask for.
	MaxWait Duration `json:"max_wait,omitempty"`
	// Class replaces the template's class.
	Class Class `json:"class,omitempty"`
}

// Workspace is the published value of one workspace.
type Workspace struct {
	// Format is always Format.
	Format int `json:"format"`
	// Name equals the last part of the key it is published under.
	Name string `json:"name"`
	// Customer is whom the workspace belongs to.
	Customer string `json:"customer"`
	// Weight is the workspace's share against the others, 1 to MaxWeight.
	Weight int `json:"weight"`
	// Pipelines are the ones that the workspace may call, by template name.
	Pipelines map[string]Parameters `json:"pipelines"`
}

// Check reports the first thing wrong with w. It does not look at templates.
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

// Resolve returns t as w calls it: the stages that w selects, with w's model,
// adapter, longest wait and class. It fails where w does not know t or selects
// a stage that t lacks.
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
	wanted := make(map[string]bool, len(p.Stages))
	for _, n := range p.Stages {
		wanted[n] = true
	}
	stages := make([]Stage, 0, len(wanted))
	for _, s := range t.Stages {
		if wanted[s.Name] {
			stages = append(stages, s)
		}
	}
	if len(stages) != len(wanted) {
		return nil, fmt.Errorf("pipeline: template %s lacks a stage of %v", t.Name, p.Stages)
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
