// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package command

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wingvale/wingvale/client"
	"github.com/wingvale/wingvale/internal/load"
	"github.com/wingvale/wingvale/pipeline"
	"github.com/wingvale/wingvale/request"
)

type loadCommand struct {
	format
	To           []string      `required:"" help:"Caller addresses of nodes to ask first."`
	Workspace    string        `required:"" help:"The workspace."`
	Pipeline     string        `required:"" help:"The pipeline template."`
	Input        string        `default:"How do I mix alpine grey?" help:"The input."`
	Rate         float64       `default:"10" help:"Requests a second, offered whether or not they are answered."`
	For          time.Duration `default:"10s" help:"How long to offer."`
	Deadline     time.Duration `default:"2s" help:"What counts as in time."`
	Unrepeatable bool          `help:"Offer unrepeatable requests."`
	Callers      int           `default:"4" help:"How many callers hold addresses of their own."`
	Seed         uint64        `default:"1" help:"Seed of the arrivals."`
}

// Run offers the load.
func (c loadCommand) Run(o *output) error {
	to, err := addresses(c.To)
	if err != nil {
		return err
	}
	if c.Rate <= 0 || c.For <= 0 || c.Callers < 1 {
		return fmt.Errorf("%w: rate, time and callers must be above 0", errUsage)
	}
	callers := make(spread, c.Callers)
	for i := range callers {
		callers[i] = client.New(client.Options{Bootstrap: to})
	}
	spec := request.Spec{
		Workspace:    c.Workspace,
		Pipeline:     c.Pipeline,
		Input:        c.Input,
		Deadline:     pipeline.Duration(c.Deadline),
		Unrepeatable: c.Unrepeatable,
	}
	options := load.Options{
		Caller: callers,
		Sources: []load.Source{{
			Name:     c.Pipeline,
			Spec:     func(int) request.Spec { return spec },
			Rate:     load.Steady(c.Rate),
			Deadline: c.Deadline,
		}},
		For:    c.For,
		Random: rand.New(rand.NewPCG(c.Seed, c.Seed)),
	}
	if !c.json() {
		options.Progress = func(at time.Duration, r *load.Report) {
			offered, attained := r.Totals()
			_, _ = fmt.Fprintf(o.err, "\r%v: %d ended, %d in time", at.Round(time.Second), offered, attained)
		}
	}
	report := load.Run(context.Background(), options)
	if c.json() {
		return o.printJSON(report)
	}
	_, _ = fmt.Fprintln(o.err)
	report.Write(o.out)
	return nil
}

// spread takes any of several callers for each request.
type spread []load.Caller

// Do runs spec.
func (s spread) Do(ctx context.Context, spec request.Spec) (client.Answer, error) {
	return s[rand.IntN(len(s))].Do(ctx, spec)
}
