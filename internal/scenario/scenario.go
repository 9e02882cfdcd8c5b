// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package scenario

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/wingvale/wingvale/internal/harness"
	"github.com/wingvale/wingvale/internal/memnet"
	"github.com/wingvale/wingvale/internal/publisher"
	"github.com/wingvale/wingvale/internal/sites"
	"github.com/wingvale/wingvale/internal/standin"
)

// Environment is the site that one script runs against.
type Environment struct {
	network *memnet.Network
	site    *harness.Site

	// ctx ends the calls when the Environment is closed.
	ctx    context.Context
	cancel context.CancelFunc

	mu    sync.Mutex
	calls map[string]*call
}

const (
	readyTimeout = 20 * time.Second
	endTimeout   = 2 * time.Minute
	pollInterval = 20 * time.Millisecond
)

// New returns an Environment without a site. The command site creates the site.
func New() *Environment {
	ctx, cancel := context.WithCancel(context.Background())
	return &Environment{ctx: ctx, cancel: cancel, calls: make(map[string]*call)}
}

// Close ends the calls and the site.
func (env *Environment) Close() {
	env.cancel()
	for _, c := range env.calls {
		<-c.done
	}
	if env.network != nil {
		env.network.HealAll()
	}
	if env.site != nil {
		env.site.Close()
	}
}

// Commands returns the commands of the language. A command that returns an error fails the script.
// With "!" before it a command must fail.
func (env *Environment) Commands() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	commands := map[string]func(args []string) error{
		"site":     env.startSite,
		"send":     env.send,
		"await":    env.await,
		"crash":    env.crash,
		"restart":  env.restart,
		"drain":    env.drain,
		"pause":    func(args []string) error { return env.freeze(args, true) },
		"resume":   func(args []string) error { return env.freeze(args, false) },
		"cut":      env.cut,
		"heal":     env.heal,
		"set":      env.set,
		"platform": env.platform,
		"publish":  env.publish,
		"remove":   env.remove,
		"inforce":  env.inForce,
		"sleep":    sleep,
		"arrivals": env.arrivals,
		"member":   env.member,
		"leaving":  env.leaving,
	}
	all := make(map[string]func(*testscript.TestScript, bool, []string), len(commands))
	for name, run := range commands {
		all[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			err := run(args)
			if neg && err == nil {
				ts.Fatalf("%s %s: succeeded, want a failure", name, strings.Join(args, " "))
			}
			if !neg && err != nil {
				ts.Fatalf("%s %s: %v", name, strings.Join(args, " "), err)
			}
		}
	}
	return all
}

var errUsage = errors.New("wrong arguments")

// startSite creates the site and waits until its nodes are ready:
// site NODES [token=TIME] [work=TIME].
func (env *Environment) startSite(args []string) error {
	if len(args) < 1 {
		return errUsage
	}
	nodes, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	work, token := 10*time.Millisecond, 10*time.Millisecond
	for _, a := range args[1:] {
		name, text, _ := strings.Cut(a, "=")
		d, err := time.ParseDuration(text)
		if err != nil {
			return err
		}
		switch name {
		case "work":
			work = d
		case "token":
			token = d
		default:
			return errUsage
		}
	}
	env.network = memnet.New(func(netip.Addr, netip.Addr) time.Duration { return 500 * time.Microsecond })
	env.site, err = harness.New(harness.Options{
		Site:          sites.Farbwerk(),
		Nodes:         nodes,
		Network:       harness.Memory{Network: env.network},
		Knobs:         func(sites.Pool) standin.Knobs { return standin.Knobs{CallTime: work} },
		TokenInterval: token,
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	return env.site.AwaitReady(ctx)
}

// hosts returns the addresses of the host with a name: node:I, POOL:I or platform.
func (env *Environment) hosts(name string) ([]netip.Addr, error) {
	kind, index, _ := strings.Cut(name, ":")
	if kind == "platform" {
		return []netip.Addr{env.site.PlatformAddress().Addr()}, nil
	}
	i, err := strconv.Atoi(index)
	if err != nil {
		return nil, fmt.Errorf("%q: want node:I, POOL:I or platform", name)
	}
	if kind == "node" {
		return []netip.Addr{env.site.Nodes()[i].Caller.Addr()}, nil
	}
	s, err := env.server(name)
	if err != nil {
		return nil, err
	}
	return []netip.Addr{s.Address.Addr()}, nil
}

func (env *Environment) server(name string) (*harness.Server, error) {
	pool, index, _ := strings.Cut(name, ":")
	i, err := strconv.Atoi(index)
	servers := env.site.Servers(pool)
	if err != nil || i >= len(servers) {
		return nil, fmt.Errorf("no server named %s", name)
	}
	return servers[i], nil
}

func nodeIndex(name string) (int, bool) {
	text, ok := strings.CutPrefix(name, "node:")
	i, err := strconv.Atoi(text)
	return i, ok && err == nil
}

// publish publishes a value of a key: publish KEY VALUE.
func (env *Environment) publish(args []string) error {
	if len(args) != 2 {
		return errUsage
	}
	env.site.Configuration.Publish(publisher.SpaceConfiguration, args[0], args[1])
	return nil
}

func (env *Environment) remove(args []string) error {
	if len(args) != 1 {
		return errUsage
	}
	env.site.Configuration.Remove(publisher.SpaceConfiguration, args[0])
	return nil
}

func sleep(args []string) error {
	if len(args) != 1 {
		return errUsage
	}
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	time.Sleep(d)
	return nil
}
