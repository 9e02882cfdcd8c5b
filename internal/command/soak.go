// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package command

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/wingvale/wingvale/platform/soak"
	"github.com/wingvale/wingvale/platform/standin"
)

const (
	// minServedShare is the share of the requests after the last fault that a passing seed
	// has to serve.
	minServedShare = 0.95
	// maxJobs limits the seeds that run at the same time. Concurrent soak runs use different
	// addresses, which are derived from the process id and the job.
	maxJobs = 16
)

type soakCommand struct {
	Binary string        `help:"The daemon to run; by default wingvaled in the folder of this program." type:"path"`
	Seed   uint64        `help:"The first seed." default:"1"`
	Count  int           `help:"Number of seeds." default:"1"`
	Nodes  int           `help:"Number of daemons of each seed." default:"5"`
	For    time.Duration `help:"How long faults are injected." default:"12s"`
	Jobs   int           `help:"Number of seeds that run at the same time." default:"1"`
	Dir    string        `help:"Folder for settings and logs; by default a new temporary folder." type:"path"`

	// self is the path of this program.
	self string
}

type soakServerCommand struct {
	Address string `arg:"" help:"IP:PORT to listen at."`
	Target  string `arg:"" help:"IP:PORT to forward connections to."`
}

// Run forwards connections until standard input ends.
func (c soakServerCommand) Run(o *output) error {
	address, err := netip.ParseAddrPort(c.Address)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	target, err := netip.ParseAddrPort(c.Target)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	return soak.ServeConnections(context.Background(), address, target, os.Stdin, o.out)
}

// Run runs all seeds and prints a line for each. It fails if any seed fails.
func (c *soakCommand) Run(o *output) error {
	var err error
	if c.self, err = os.Executable(); err != nil {
		return err
	}
	if c.Binary == "" {
		c.Binary = filepath.Join(filepath.Dir(c.self), "wingvaled")
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
	for job := range min(max(c.Jobs, 1), maxJobs) {
		workers.Go(func() {
			for seed := range seeds {
				ok, line := c.runSeed(job, seed)
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

// runSeed runs one seed. It reports whether the seed passed, and the line to print for it.
func (c *soakCommand) runSeed(job int, seed uint64) (bool, string) {
	r, err := soak.Run(context.Background(), soak.Options{
		Binary: c.Binary, ServerBinary: c.self, Dir: c.Dir, Seed: seed, Nodes: c.Nodes, Duration: c.For, RunNumber: os.Getpid()*maxJobs + job,
	})
	line := fmt.Sprintf("seed %d: served %d of %d after the last fault; told %v; faults %v", seed, r.Served, r.After, r.Outcomes, r.Faults)
	if err != nil {
		return false, line + "; " + err.Error()
	}
	return passed(r), line + formatBreaches(r)
}

func passed(r standin.Report) bool {
	return len(r.Breaches) == 0 && float64(r.Served) >= minServedShare*float64(r.After)
}

func formatBreaches(r standin.Report) string {
	text := ""
	for _, b := range r.Breaches {
		text += "\n  broken: " + b
	}
	return text
}
