// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package command

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/wingvale/wingvale/internal/settings"
	"github.com/wingvale/wingvale/internal/sites"
	"github.com/wingvale/wingvale/pipeline"
)

type checkCommand struct {
	Paths []string `arg:"" type:"path" help:"INI files with settings, JSON files or folders with published values (templates/NAME.json, workspaces/NAME.json, models/NAME.json)."`
}

// Run checks every path and reports all errors together.
func (c checkCommand) Run(o *output) error {
	var errs []error
	for _, p := range c.Paths {
		checked, err := checkPath(p)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		o.printf("%s: %s\n", p, checked)
	}
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("%w:\n%w", errUsage, err)
	}
	return nil
}

func checkPath(p string) (string, error) {
	info, err := os.Stat(p)
	if err != nil {
		return "", err
	}
	switch {
	case info.IsDir():
		return checkFolder(p)
	case strings.HasSuffix(p, ".json"):
		data, err := os.ReadFile(p)
		if err != nil {
			return "", err
		}
		key := filepath.Base(filepath.Dir(p)) + "/" + strings.TrimSuffix(filepath.Base(p), ".json")
		_, err = pipeline.Decode(key, data)
		return "a valid value of " + key, err
	default:
		_, err := settings.Load(p)
		return "valid settings", err
	}
}

// checkFolder validates all values below a folder and the references between them.
func checkFolder(p string) (string, error) {
	values, err := sites.ReadValues(os.DirFS(p), ".")
	if err != nil {
		return "", err
	}
	decoded := make(map[string]pipeline.Value, len(values))
	var errs []error
	for key, text := range values {
		v, err := pipeline.Decode(strings.TrimPrefix(key, "./"), []byte(text))
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", p, err))
			continue
		}
		decoded[strings.TrimPrefix(key, "./")] = v
	}
	errs = append(errs, checkReferences(decoded)...)
	slices.SortFunc(errs, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return fmt.Sprintf("%d valid values", len(decoded)), errors.Join(errs...)
}

// checkReferences returns an error for each workspace that refers to a template or a model
// that does not exist.
func checkReferences(values map[string]pipeline.Value) []error {
	var errs []error
	for key, v := range values {
		if v.Workspace == nil {
			continue
		}
		for name := range v.Workspace.Pipelines {
			t, ok := values[pipeline.PrefixTemplate+name]
			if !ok {
				errs = append(errs, fmt.Errorf("%s: no template %s", key, name))
				continue
			}
			resolved, err := v.Workspace.Resolve(*t.Template)
			if err != nil {
				errs = append(errs, fmt.Errorf("%s: %w", key, err))
				continue
			}
			for _, s := range resolved.Stages {
				if _, ok := values[pipeline.PrefixModel+s.Model]; s.Model != "" && !ok {
					errs = append(errs, fmt.Errorf("%s: pipeline %s: no model %s", key, name, s.Model))
				}
			}
		}
	}
	return errs
}
