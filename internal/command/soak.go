// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package command

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/wingvale/wingvale/platform/soak"
	"github.com/wingvale/wingvale/platform/standin"
)

const (
	// soakServed is the share of requests that are served once all has come to
	// rest.
	soakServed = 0.95
	// jobsMost bounds the seeds that run at the same time; soaks that run
	// beside each other use other addresses.
	jobsMost = 16
)

type soakCommand struct {
	Binary string        `help:"The daemon to run; by default wingvaled beside this program." type:"path"`
	Seed   uint64        `help:"The first seed." default:"1"`
	Count  int           `help:"How many seeds." default:"1"`
	Nodes  int           `help:"How many daemons a seed has." default:"5"`
	For    time.Duration `help:"How long faults go on." default:"12s"`
	Jobs   int           `help:"How many seeds run at the same time." default:"1"`
	Dir    string        `help:"Where settings and logs go; by default a new folder." type:"path"`
}

// Run runs the soak and prints a line for each seed.
func (c *soakCommand) Run(o *output) error {
	if c.Binary == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		c.Binary = filepath.Join(filepath.Dir(self), "wingvaled")
	}
	if c.Dir == "" {
		dir, err := os.MkdirTemp("", "wingvale-soak-")
		if err != nil {
			return err
		}
		c.Dir = dir
	}
	_, _ = fmt.Fprintf(o.out, "logs in %s\n", c.Dir)
	var mu sync.Mutex
	failed := 0
	seeds := make(chan uint64)
	var workers sync.WaitGroup
	for job := range min(max(c.Jobs, 1), jobsMost) {
		workers.Go(func() {
			for seed := range seeds {
				ok, line := c.one(job, seed)
				mu.Lock()
				_, _ = fmt.Fprintln(o.out, line)
				if !ok {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	for i := range c.Count {
		seeds <- c.Seed + uint64(i)
	}
	close(seeds)
	workers.Wait()
	_, _ = fmt.Fprintf(o.out, "%d passed, %d failed\n", c.Count-failed, failed)
	if failed > 0 {
		return fmt.Errorf("soak: %d of %d seeds failed", failed, c.Count)
	}
	return nil
}

func (c *soakCommand) one(job int, seed uint64) (bool, string) {
	r, err := soak.Run(context.Background(), soak.Options{
		Binary: c.Binary, Dir: c.Dir, Seed: seed, Nodes: c.Nodes, For: c.For, Run: os.Getpid()*jobsMost + job,
	})
	line := fmt.Sprintf("seed %d: served %d of %d after the last fault; told %v; faults %v", seed, r.Served, r.After, r.Outcomes, r.Faults)
	if err != nil {
		return false, line + "; " + err.Error()
	}
	return passed(r), line + breaches(r)
}

func passed(r standin.Report) bool {
	return len(r.Breaches) == 0 && float64(r.Served) >= soakServed*float64(r.After)
}

func breaches(r standin.Report) string {
	text := ""
	for _, b := range r.Breaches {
		text += "\n  broken: " + b
	}
	return text
}
