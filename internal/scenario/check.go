// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package scenario

import (
	"fmt"
	"strconv"
	"time"

	"github.com/wingvale/wingvale/internal/node"
)

// eventually waits until check succeeds on each running node. It returns the last error if it does
// not within the duration in text.
func (env *Environment) eventually(text string, check func(d node.Dump) error) error {
	within, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(within)
	for {
		var lastErr error
		for _, n := range env.site.Nodes() {
			select {
			case <-n.Done():
				continue
			default:
			}
			if err := check(n.Dump()); err != nil {
				lastErr = fmt.Errorf("node %s: %w", n.Caller, err)
			}
		}
		if lastErr == nil || time.Now().After(deadline) {
			return lastErr
		}
		time.Sleep(pollInterval)
	}
}

// inForce checks that all running nodes use a revision of a key within a time:
// inforce KEY REVISION TIME.
func (env *Environment) inForce(args []string) error {
	if len(args) != 3 {
		return errUsage
	}
	want, err := strconv.ParseUint(args[1], 10, 64)
	if err != nil {
		return err
	}
	return env.eventually(args[2], func(d node.Dump) error {
		if got := d.Configuration.Revisions[args[0]]; got != want {
			return fmt.Errorf("has revision %d of %s, want %d", got, args[0], want)
		}
		return nil
	})
}

// member checks that all running nodes that have a node in their view see it in a state within a
// time: member node:I STATE TIME.
func (env *Environment) member(args []string) error {
	if len(args) != 3 {
		return errUsage
	}
	i, ok := nodeIndex(args[0])
	if !ok {
		return errUsage
	}
	address := env.site.Nodes()[i].Caller
	return env.eventually(args[2], func(d node.Dump) error {
		for _, m := range d.Members {
			if m.Address == address && m.State.String() != args[1] {
				return fmt.Errorf("has member %s in state %s, want %s", address, m.State, args[1])
			}
		}
		return nil
	})
}

// leaving checks that all running nodes know within a time that a server is leaving:
// leaving POOL:I TIME.
func (env *Environment) leaving(args []string) error {
	if len(args) != 2 {
		return errUsage
	}
	s, err := env.server(args[0])
	if err != nil {
		return err
	}
	return env.eventually(args[1], func(d node.Dump) error {
		for _, state := range d.Pools[s.Pool.Name].Servers {
			if state.Address == s.Address && state.Leaving {
				return nil
			}
		}
		return fmt.Errorf("does not know that server %s is leaving", s.Address)
	})
}
