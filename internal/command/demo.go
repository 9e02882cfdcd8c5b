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
	Rate  float64       `default:"60" help:"Requests a second while a node and a backend server stop."`
	For   time.Duration `default:"6s" help:"How long to offer them."`
	// Platform shows whole nodes with the adapter instead.
	Platform bool   `help:"Show nodes on a stand-in of the users' platform, with random faults, in memory."`
	Seed     uint64 `default:"1" help:"Which faults come with --platform."`
}

// demoSite tells which workspace and pipeline a site is shown with, and which
// pool loses a server.
type demoSite struct {
	site      sites.Site
	workspace string
	pipeline  string
	engines   string
}

func demoSites() []demoSite {
	return []demoSite{
		{site: sites.ArhivaClimei(), workspace: "farm-cooperatives", pipeline: "field-note", engines: "logbook-readers"},
		{site: sites.Farbwerk(), workspace: "paint-shops-north", pipeline: "recipe-explanation", engines: "language-models"},
	}
}

// Run shows both sites, or the users' platform.
func (c demoCommand) Run(o *output) error {
	if c.Platform {
		return c.showPlatform(o)
	}
	for _, d := range demoSites() {
		if err := c.show(o, d); err != nil {
			return fmt.Errorf("%s: %w", d.site.Name, err)
		}
	}
	o.printf("\nNothing was lost, and every answer was the right one.\n")
	return nil
}

// settleFor is how long the nodes on the stand-in of the platform rest after the
// last fault: its servers that leave go on for 9 s.
const settleFor = 10 * time.Second

// showPlatform runs nodes with the adapter under random faults, and tells what
// callers were told and which promises were broken.
func (c demoCommand) showPlatform(o *output) error {
	o.printf("%d nodes on a stand-in of the platform; faults of seed %d for %v\n", c.Nodes, c.Seed, c.For)
	report, err := platformstandin.Campaign(context.Background(), platformstandin.CampaignOptions{
		Nodes: c.Nodes, Seed: c.Seed, For: c.For, Settle: settleFor,
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
		return fmt.Errorf("%d broken promises, %d requests served at the end", len(report.Breaches), report.Served)
	}
	return nil
}

func printCounts(o *output, what string, counts map[string]int) {
	o.printf("%s:", what)
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		o.printf(" %s %d;", name, counts[name])
	}
	o.printf("\n")
}

const demoStart = 20 * time.Second

func (c demoCommand) show(o *output, d demoSite) error {
	o.printf("\n== %s: %d nodes, %d pools\n", d.site.Name, c.Nodes, len(d.site.Pools))
	running, err := harness.New(harness.Options{
		Site:    d.site,
		Nodes:   c.Nodes,
		Network: harness.Loopback{},
		Knobs: func(sites.Pool) standin.Knobs {
			return standin.Knobs{Work: 5 * time.Millisecond, Jitter: 0.3}
		},
		Token:    3 * time.Millisecond,
		Settings: func(s *settings.Settings) { s.Announce = time.Second },
	})
	if err != nil {
		return err
	}
	defer running.Close()
	ctx, cancel := context.WithTimeout(context.Background(), demoStart)
	defer cancel()
	if err := running.AwaitReady(ctx); err != nil {
		return err
	}
	if err := askAll(ctx, o, running.Client(""), d); err != nil {
		return err
	}
	return c.stopUnderLoad(o, running, d)
}

func askAll(ctx context.Context, o *output, caller *client.Client, d demoSite) error {
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

// stopUnderLoad stops one node as planned and kills one engine while requests
// come in, and checks that every one was answered.
func (c demoCommand) stopUnderLoad(o *output, running *harness.Site, d demoSite) error {
	o.printf("\nOffering %.0f requests a second; stopping node %s and killing one engine meanwhile.\n", c.Rate, running.Nodes()[0].Caller)
	time.AfterFunc(c.For/4, running.Nodes()[0].Stop)
	time.AfterFunc(c.For/2, func() { running.KillServer(running.Servers(d.engines)[0]) })
	expected := make(map[string]string)
	for _, q := range d.site.Questions {
		text, err := standin.Expected(d.site.Documents, q)
		if err != nil {
			return err
		}
		expected[q] = text
	}
	callers := spread{running.Client(""), running.Client(""), running.Client("")}
	report := load.Run(context.Background(), load.Options{
		Caller: callers,
		Sources: []load.Source{{
			Name: d.pipeline,
			Spec: func(n int) request.Spec {
				return request.Spec{Workspace: d.workspace, Pipeline: d.pipeline, Input: d.site.Questions[n%len(d.site.Questions)]}
			},
			Expect:   func(s request.Spec) string { return expected[s.Input] },
			Rate:     load.Steady(c.Rate),
			Deadline: 2 * time.Second,
		}},
		For:    c.For,
		Random: rand.New(rand.NewPCG(1, 1)),
	})
	report.Write(o.out)
	<-running.Nodes()[0].Done()
	offered, attained := report.Totals()
	if attained != offered || report.Wrong() > 0 {
		return fmt.Errorf("%d of %d requests were answered whole and in time", attained, offered)
	}
	return nil
}
