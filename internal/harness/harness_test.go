// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package harness_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/harness"
	"github.com/wingvale/wingvale/internal/memnet"
	"github.com/wingvale/wingvale/internal/sites"
	"github.com/wingvale/wingvale/internal/standin"
	"github.com/wingvale/wingvale/request"
)

func TestSitesReturnExpectedAnswers(t *testing.T) {
	for _, site := range []sites.Site{sites.ArhivaClimei(), sites.Farbwerk()} {
		t.Run(site.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, err := harness.New(harness.Options{
					Site:          site,
					Nodes:         3,
					Network:       harness.Memory{Network: memnet.New(nil)},
					Knobs:         func(sites.Pool) standin.Knobs { return standin.Knobs{CallTime: 5 * time.Millisecond} },
					TokenInterval: 2 * time.Millisecond,
				})
				assert.NilError(t, err)
				defer s.Close()
				ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
				defer cancel()
				assert.NilError(t, s.AwaitReady(ctx))
				specs := map[string]request.Spec{
					"arhiva-climei": {Workspace: "farm-cooperatives", Pipeline: "field-note"},
					"farbwerk":      {Workspace: "paint-shops-north", Pipeline: "recipe-explanation"},
				}
				for _, question := range site.Questions {
					spec := specs[site.Name]
					spec.Input = question
					got, err := s.Client("").Do(ctx, spec)
					assert.NilError(t, err)
					want, err := standin.ExpectedAnswer(site.Documents, question)
					assert.NilError(t, err)
					assert.Equal(t, got.Text, want)
				}
			})
		})
	}
}
