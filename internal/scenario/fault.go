// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package scenario

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/wingvale/wingvale/internal/publisher"
	"github.com/wingvale/wingvale/internal/standin"
)

// crash kills nodes and backend servers: crash NAME...
func (env *Environment) crash(args []string) error {
	for _, name := range args {
		if i, ok := nodeIndex(name); ok {
			env.site.KillNode(i)
			continue
		}
		s, err := env.server(name)
		if err != nil {
			return err
		}
		env.site.KillServer(s)
	}
	return nil
}

// restart starts killed or stopped nodes and backend servers as new instances: restart NAME...
func (env *Environment) restart(args []string) error {
	for _, name := range args {
		if i, ok := nodeIndex(name); ok {
			if err := env.site.StartNode(i); err != nil {
				return err
			}
			continue
		}
		s, err := env.server(name)
		if err != nil {
			return err
		}
		s.Instance += "+"
		if err := env.site.StartServer(s); err != nil {
			return err
		}
	}
	return nil
}

// drain starts a planned stop of a node, and with wait also waits for its end:
// drain node:I [wait].
func (env *Environment) drain(args []string) error {
	if len(args) < 1 {
		return errUsage
	}
	i, ok := nodeIndex(args[0])
	if !ok {
		return errUsage
	}
	n := env.site.Nodes()[i]
	n.Stop()
	if len(args) == 1 {
		return nil
	}
	select {
	case <-n.Done():
		return nil
	case <-time.After(endTimeout):
		return fmt.Errorf("%s has not stopped after %v", args[0], endTimeout)
	}
}

func (env *Environment) freeze(args []string, frozen bool) error {
	for _, name := range args {
		hosts, err := env.hosts(name)
		if err != nil {
			return err
		}
		env.network.Freeze(hosts[0], frozen)
	}
	return nil
}

// cut delays all data from one host to another, or in both directions: cut FROM TO [both].
func (env *Environment) cut(args []string) error {
	if len(args) < 2 {
		return errUsage
	}
	from, fromErr := env.hosts(args[0])
	to, toErr := env.hosts(args[1])
	if err := errors.Join(fromErr, toErr); err != nil {
		return err
	}
	env.network.Cut(from[0], to[0])
	if len(args) > 2 {
		env.network.Cut(to[0], from[0])
	}
	return nil
}

func (env *Environment) heal([]string) error {
	env.network.HealAll()
	return nil
}

// set changes a knob of a backend server: set POOL:I KNOB VALUE.
func (env *Environment) set(args []string) error {
	if len(args) != 3 {
		return errUsage
	}
	s, err := env.server(args[0])
	if err != nil {
		return err
	}
	value, err := strconv.ParseFloat(args[2], 64)
	if err != nil {
		return err
	}
	known := true
	s.SetKnobs(func(k *standin.Knobs) {
		switch args[1] {
		case "fail":
			k.FailShare = value
		case "hang":
			k.HangShare = value
		case "refuse":
			k.RefuseShare = value
		case "mislabel":
			k.MislabelShare = value
		case "cut":
			k.CutShare = value
		case "slow":
			k.SlowFactor = value
		case "leaving":
			k.Leaving = value > 0
		default:
			known = false
		}
	})
	if !known {
		return errUsage
	}
	return nil
}

// platform makes the configuration service answer, refuse all calls, or answer with the state at an
// older revision: platform up | down | stale REVISION [node:I] | fresh [node:I].
func (env *Environment) platform(args []string) error {
	c := env.site.Configuration
	reader := netip.Addr{}
	if len(args) > 1 && strings.HasPrefix(args[len(args)-1], "node:") {
		hosts, err := env.hosts(args[len(args)-1])
		if err != nil {
			return err
		}
		reader = hosts[0]
	}
	switch {
	case len(args) == 0:
		return errUsage
	case args[0] == "up" || args[0] == "down":
		c.SetDown(args[0] == "down")
	case args[0] == "fresh":
		c.SetStale(publisher.SpaceConfiguration, reader, 0)
	case args[0] == "stale" && len(args) > 1:
		revision, err := strconv.ParseUint(args[1], 10, 64)
		if err != nil {
			return err
		}
		c.SetStale(publisher.SpaceConfiguration, reader, revision)
	default:
		return errUsage
	}
	return nil
}
