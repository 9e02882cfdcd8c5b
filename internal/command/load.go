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
	Rate         float64       `default:"10" help:"Requests per second, sent whether or not earlier ones were answered."`
	For          time.Duration `default:"10s" help:"How long to send requests."`
	Deadline     time.Duration `default:"2s" help:"Latency up to which an answer counts as in time."`
	Unrepeatable bool          `help:"Send unrepeatable requests."`
	Callers      int           `default:"4" help:"Number of callers, each with its own list of addresses."`
	Seed         uint64        `default:"1" help:"Seed of the random arrival times."`
}

// Run generates the load and prints the report.
func (c loadCommand) Run(o *output) error {
	to, err := parseAddresses(c.To)
	if err != nil {
		return err
	}
	if c.Rate <= 0 || c.For <= 0 || c.Callers < 1 {
		return fmt.Errorf("%w: rate, duration and callers must be above 0", errUsage)
	}
	callers := make(randomCaller, c.Callers)
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
			Rate:     load.ConstantRate(c.Rate),
			Deadline: c.Deadline,
		}},
		Duration: c.For,
		Random:   rand.New(rand.NewPCG(c.Seed, c.Seed)),
	}
	if !c.json() {
		options.Progress = func(elapsed time.Duration, r *load.Report) {
			offered, attained := r.Totals()
			_, _ = fmt.Fprintf(o.err, "\r%v: %d ended, %d in time", elapsed.Round(time.Second), offered, attained)
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

// randomCaller sends each request through one of several callers, chosen at random.
type randomCaller []load.Caller

// Do runs one request.
func (s randomCaller) Do(ctx context.Context, spec request.Spec) (client.Answer, error) {
	return s[rand.IntN(len(s))].Do(ctx, spec)
}
