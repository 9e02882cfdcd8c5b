// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package command

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wingvale/wingvale/client"
	"github.com/wingvale/wingvale/internal/harness"
	"github.com/wingvale/wingvale/internal/load"
	"github.com/wingvale/wingvale/internal/settings"
	"github.com/wingvale/wingvale/internal/sites"
	"github.com/wingvale/wingvale/internal/standin"
	platformstandin "github.com/wingvale/wingvale/platform/standin"
	"github.com/wingvale/wingvale/request"
)

type demoCommand struct {
	Nodes int           `default:"3" help:"Entry hosts for each site."`
	Rate  float64       `default:"60" help:"Requests per second while a node and a backend server stop."`
	For   time.Duration `default:"6s" help:"How long to send requests."`
	// Platform runs whole nodes with the platform adapter instead of the example sites.
	Platform bool   `help:"Run nodes on a stand-in of the users' platform, with random faults, in memory."`
	Seed     uint64 `default:"1" help:"Seed of the random faults of --platform."`
}

// demoSite selects the workspace and pipeline for the demo of a site, and the engine pool
// in which a server is killed.
type demoSite struct {
	site       sites.Site
	workspace  string
	pipeline   string
	enginePool string
}

func demoSites() []demoSite {
	return []demoSite{
		{site: sites.ArhivaClimei(), workspace: "farm-cooperatives", pipeline: "field-note", enginePool: "logbook-readers"},
		{site: sites.Farbwerk(), workspace: "paint-shops-north", pipeline: "recipe-explanation", enginePool: "language-models"},
	}
}

// Run runs the demo of both sites, or of the users' platform with --platform.
func (c demoCommand) Run(o *output) error {
	if c.Platform {
		return c.runPlatform(o)
	}
	for _, d := range demoSites() {
		if err := c.runSite(o, d); err != nil {
			return fmt.Errorf("%s: %w", d.site.Name, err)
		}
	}
	o.printf("\nNothing was lost, and every answer was the right one.\n")
	return nil
}

// settleDuration is how long the nodes on the stand-in of the platform run without faults
// after the last one. Servers that leave drain for 9 s.
const settleDuration = 10 * time.Second

// runPlatform runs nodes with the platform adapter under random faults, and prints the
// outcomes that callers got and the invariants that were violated.
func (c demoCommand) runPlatform(o *output) error {
	o.printf("%d nodes on a stand-in of the platform; faults of seed %d for %v\n", c.Nodes, c.Seed, c.For)
	report, err := platformstandin.Campaign(context.Background(), platformstandin.CampaignOptions{
		Nodes: c.Nodes, Seed: c.Seed, Duration: c.For, Settle: settleDuration,
	})
	if err != nil {
		return err
	}
	printCounts(o, "faults", report.Faults)
	printCounts(o, "callers were told", report.Outcomes)
	o.printf("at rest again: %d of %d requests served\n", report.Served, report.After)
	for _, breach := range report.Breaches {
		o.printf("broken promise: %s\n", breach)
	}
	if len(report.Breaches) > 0 || report.Served == 0 {
		return fmt.Errorf("%d broken promises, %d requests served after the last fault", len(report.Breaches), report.Served)
	}
	return nil
}

func printCounts(o *output, label string, counts map[string]int) {
	o.printf("%s:", label)
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		o.printf(" %s %d;", name, counts[name])
	}
	o.printf("\n")
}

// demoStartTimeout bounds the start of the nodes and the questions.
const demoStartTimeout = 20 * time.Second

// runSite runs the demo of one site.
func (c demoCommand) runSite(o *output, d demoSite) error {
	o.printf("\n== %s: %d nodes, %d pools\n", d.site.Name, c.Nodes, len(d.site.Pools))
	running, err := harness.New(harness.Options{
		Site:    d.site,
		Nodes:   c.Nodes,
		Network: harness.Loopback{},
		Knobs: func(sites.Pool) standin.Knobs {
			return standin.Knobs{CallTime: 5 * time.Millisecond, Jitter: 0.3}
		},
		TokenInterval: 3 * time.Millisecond,
		Settings:      func(s *settings.Settings) { s.AnnouncePeriod = time.Second },
	})
	if err != nil {
		return err
	}
	defer running.Close()
	ctx, cancel := context.WithTimeout(context.Background(), demoStartTimeout)
	defer cancel()
	if err := running.AwaitReady(ctx); err != nil {
		return err
	}
	if err := askQuestions(ctx, o, running.Client(""), d); err != nil {
		return err
	}
	return c.stopUnderLoad(o, running, d)
}

// askQuestions sends the questions of a site and prints each answer with its cost by stage.
func askQuestions(ctx context.Context, o *output, caller *client.Client, d demoSite) error {
	for _, q := range d.site.Questions {
		o.printf("\nQ: %s\nA: ", q)
		spec := request.Spec{Workspace: d.workspace, Pipeline: d.pipeline, Input: q}
		answer, err := caller.Stream(ctx, spec, client.Observer{Text: func(text string) { o.printf("%s", text) }})
		if err != nil {
			return err
		}
		o.printf("\n   ")
		for _, cost := range answer.Costs {
			o.printf("%s %v at %s; ", cost.Stage, cost.Work.Std().Round(100*time.Microsecond), cost.Server)
		}
	}
	o.printf("\n")
	return nil
}

// stopUnderLoad stops one node gracefully and kills one engine while requests arrive, and
// returns an error unless every request got the right answer in time.
func (c demoCommand) stopUnderLoad(o *output, running *harness.Site, d demoSite) error {
	o.printf("\nOffering %.0f requests a second; stopping node %s and killing one engine meanwhile.\n", c.Rate, running.Nodes()[0].Caller)
	time.AfterFunc(c.For/4, running.Nodes()[0].Stop)
	time.AfterFunc(c.For/2, func() { running.KillServer(running.Servers(d.enginePool)[0]) })
	expected := make(map[string]string)
	for _, q := range d.site.Questions {
		text, err := standin.ExpectedAnswer(d.site.Documents, q)
		if err != nil {
			return err
		}
		expected[q] = text
	}
	callers := randomCaller{running.Client(""), running.Client(""), running.Client("")}
	report := load.Run(context.Background(), load.Options{
		Caller: callers,
		Sources: []load.Source{{
			Name: d.pipeline,
			Spec: func(n int) request.Spec {
				return request.Spec{Workspace: d.workspace, Pipeline: d.pipeline, Input: d.site.Questions[n%len(d.site.Questions)]}
			},
			Expect:   func(s request.Spec) string { return expected[s.Input] },
			Rate:     load.ConstantRate(c.Rate),
			Deadline: 2 * time.Second,
		}},
		Duration: c.For,
		Random:   rand.New(rand.NewPCG(1, 1)),
	})
	report.Write(o.out)
	<-running.Nodes()[0].Done()
	offered, attained := report.Totals()
	if attained != offered || report.Wrong() > 0 {
		return fmt.Errorf("%d of %d requests were answered completely and in time", attained, offered)
	}
	return nil
}
