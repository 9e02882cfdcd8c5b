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

	"github.com/wingvale/wingvale/client"
	"github.com/wingvale/wingvale/internal/harness"
	"github.com/wingvale/wingvale/internal/memnet"
	"github.com/wingvale/wingvale/internal/node"
	"github.com/wingvale/wingvale/internal/platform"
	"github.com/wingvale/wingvale/internal/sites"
	"github.com/wingvale/wingvale/internal/standin"
	"github.com/wingvale/wingvale/pipeline"
	"github.com/wingvale/wingvale/request"
	"github.com/wingvale/wingvale/verdict"
)

// World is the site that one script runs against.
type World struct {
	network *memnet.Network
	site    *harness.Site

	// ctx ends the calls when the world closes.
	ctx    context.Context
	cancel context.CancelFunc

	mu    sync.Mutex
	calls map[string]*call
}

type call struct {
	done   chan struct{}
	spec   request.Spec
	answer client.Answer
	err    error
}

const (
	readyFor = 20 * time.Second
	awaitFor = 2 * time.Minute
	look     = 20 * time.Millisecond
)

// New returns a world without a site.
func New() *World {
	ctx, cancel := context.WithCancel(context.Background())
	return &World{ctx: ctx, cancel: cancel, calls: make(map[string]*call)}
}

// Close ends the calls and the site.
func (w *World) Close() {
	w.cancel()
	for _, c := range w.calls {
		<-c.done
	}
	if w.network != nil {
		w.network.HealAll()
	}
	if w.site != nil {
		w.site.Close()
	}
}

// Commands returns the commands of the language. Each fails the script by its
// error; with "!" before it a command must fail.
func (w *World) Commands() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	commands := map[string]func(args []string) error{
		"site":     w.start,
		"send":     w.send,
		"await":    w.await,
		"crash":    w.crash,
		"restart":  w.restart,
		"drain":    w.drain,
		"pause":    func(args []string) error { return w.freeze(args, true) },
		"resume":   func(args []string) error { return w.freeze(args, false) },
		"cut":      w.cut,
		"heal":     w.heal,
		"set":      w.set,
		"platform": w.platform,
		"publish":  w.publish,
		"remove":   w.remove,
		"inforce":  w.inForce,
		"sleep":    sleep,
		"arrivals": w.arrivals,
		"member":   w.member,
		"leaving":  w.leaving,
	}
	all := make(map[string]func(*testscript.TestScript, bool, []string), len(commands))
	for name, run := range commands {
		all[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			err := run(args)
			if neg && err == nil {
				ts.Fatalf("%s %s: want a failure", name, strings.Join(args, " "))
			}
			if !neg && err != nil {
				ts.Fatalf("%s %s: %v", name, strings.Join(args, " "), err)
			}
		}
	}
	return all
}

var errUsage = errors.New("wrong arguments")

// start sets the site up: site NODES [token=TIME] [work=TIME].
func (w *World) start(args []string) error {
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
	w.network = memnet.New(func(netip.Addr, netip.Addr) time.Duration { return 500 * time.Microsecond })
	w.site, err = harness.New(harness.Options{
		Site:    sites.Farbwerk(),
		Nodes:   nodes,
		Network: harness.Memory{Network: w.network},
		Knobs:   func(sites.Pool) standin.Knobs { return standin.Knobs{Work: work} },
		Token:   token,
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyFor)
	defer cancel()
	return w.site.AwaitReady(ctx)
}

// send starts a request in the background:
// send NAME WORKSPACE PIPELINE INPUT [unrepeatable] [deadline=TIME].
func (w *World) send(args []string) error {
	if len(args) < 4 {
		return errUsage
	}
	spec := request.Spec{Workspace: args[1], Pipeline: args[2], Input: args[3]}
	for _, a := range args[4:] {
		if text, ok := strings.CutPrefix(a, "deadline="); ok {
			d, err := time.ParseDuration(text)
			if err != nil {
				return err
			}
			spec.Deadline = pipeline.Duration(d)
			continue
		}
		if a != "unrepeatable" {
			return errUsage
		}
		spec.Unrepeatable = true
	}
	c := &call{done: make(chan struct{}), spec: spec}
	w.mu.Lock()
	w.calls[args[0]] = c
	w.mu.Unlock()
	caller := w.site.Client(w.site.Nodes()[0].Zone)
	go func() {
		defer close(c.done)
		c.answer, c.err = caller.Do(w.ctx, spec)
	}()
	return nil
}

// await waits for a request and checks how it ended: await NAME answered, or
// await NAME VERDICT REASON. An answer to a question is checked word for word.
func (w *World) await(args []string) error {
	if len(args) < 2 {
		return errUsage
	}
	w.mu.Lock()
	c := w.calls[args[0]]
	w.mu.Unlock()
	if c == nil {
		return fmt.Errorf("no request %s", args[0])
	}
	select {
	case <-c.done:
	case <-time.After(awaitFor):
		return fmt.Errorf("%s has not ended after %v", args[0], awaitFor)
	}
	if args[1] == "answered" {
		return c.checkAnswer()
	}
	e := verdict.As(c.err)
	if e == nil {
		return fmt.Errorf("%s was answered %q", args[0], c.answer.Text)
	}
	got := e.Verdict.String() + " " + string(e.Reason)
	if want := strings.Join(args[1:], " "); got != want {
		return fmt.Errorf("got %s, want %s: %w", got, want, c.err)
	}
	return nil
}

func (c *call) checkAnswer() error {
	if c.err != nil {
		return c.err
	}
	if !strings.Contains(c.answer.Text, "[") {
		if !strings.Contains(c.answer.Text, c.answer.ID.String()) {
			return fmt.Errorf("the receipt %q is for another request", c.answer.Text)
		}
		return nil
	}
	want, err := standin.Expected(sites.Farbwerk().Documents, c.spec.Input)
	if err != nil {
		return err
	}
	if c.answer.Text != want {
		return fmt.Errorf("got %q, want %q", c.answer.Text, want)
	}
	return nil
}

// hosts resolves a name: node:I, POOL:I, platform, or callers.
func (w *World) hosts(name string) ([]netip.Addr, error) {
	kind, index, _ := strings.Cut(name, ":")
	if kind == "platform" {
		return []netip.Addr{w.site.Platform().Addr()}, nil
	}
	i, err := strconv.Atoi(index)
	if err != nil {
		return nil, fmt.Errorf("%q: want node:I, POOL:I or platform", name)
	}
	if kind == "node" {
		return []netip.Addr{w.site.Nodes()[i].Caller.Addr()}, nil
	}
	s, err := w.server(name)
	if err != nil {
		return nil, err
	}
	return []netip.Addr{s.Address.Addr()}, nil
}

func (w *World) server(name string) (*harness.Server, error) {
	pool, index, _ := strings.Cut(name, ":")
	i, err := strconv.Atoi(index)
	servers := w.site.Servers(pool)
	if err != nil || i >= len(servers) {
		return nil, fmt.Errorf("no server %s", name)
	}
	return servers[i], nil
}

func nodeIndex(name string) (int, bool) {
	text, ok := strings.CutPrefix(name, "node:")
	i, err := strconv.Atoi(text)
	return i, ok && err == nil
}

// crash ends hosts at once: crash NAME...
func (w *World) crash(args []string) error {
	for _, name := range args {
		if i, ok := nodeIndex(name); ok {
			w.site.KillNode(i)
			continue
		}
		s, err := w.server(name)
		if err != nil {
			return err
		}
		w.site.KillServer(s)
	}
	return nil
}

// restart starts killed or stopped hosts anew: restart NAME...
func (w *World) restart(args []string) error {
	for _, name := range args {
		if i, ok := nodeIndex(name); ok {
			if err := w.site.StartNode(i); err != nil {
				return err
			}
			continue
		}
		s, err := w.server(name)
		if err != nil {
			return err
		}
		s.Instance += "+"
		if err := w.site.StartServer(s); err != nil {
			return err
		}
	}
	return nil
}

// drain begins a planned stop, or waits for its end: drain node:I [wait].
func (w *World) drain(args []string) error {
	if len(args) < 1 {
		return errUsage
	}
	i, ok := nodeIndex(args[0])
	if !ok {
		return errUsage
	}
	n := w.site.Nodes()[i]
	n.Stop()
	if len(args) == 1 {
		return nil
	}
	select {
	case <-n.Done():
		return nil
	case <-time.After(awaitFor):
		return fmt.Errorf("%s has not stopped after %v", args[0], awaitFor)
	}
}

func (w *World) freeze(args []string, frozen bool) error {
	for _, name := range args {
		hosts, err := w.hosts(name)
		if err != nil {
			return err
		}
		w.network.Freeze(hosts[0], frozen)
	}
	return nil
}

// cut holds back what goes from one host to another: cut FROM TO [both].
func (w *World) cut(args []string) error {
	if len(args) < 2 {
		return errUsage
	}
	from, err1 := w.hosts(args[0])
	to, err2 := w.hosts(args[1])
	if err := errors.Join(err1, err2); err != nil {
		return err
	}
	w.network.Cut(from[0], to[0])
	if len(args) > 2 {
		w.network.Cut(to[0], from[0])
	}
	return nil
}

func (w *World) heal([]string) error {
	w.network.HealAll()
	return nil
}

// set changes a server's behaviour: set POOL:I KNOB VALUE.
func (w *World) set(args []string) error {
	if len(args) != 3 {
		return errUsage
	}
	s, err := w.server(args[0])
	if err != nil {
		return err
	}
	x, err := strconv.ParseFloat(args[2], 64)
	if err != nil {
		return err
	}
	known := true
	s.Set(func(k *standin.Knobs) {
		switch args[1] {
		case "fail":
			k.Fail = x
		case "hang":
			k.Hang = x
		case "refuse":
			k.Refuse = x
		case "mislabel":
			k.Mislabel = x
		case "cut":
			k.Cut = x
		case "slow":
			k.Slow = x
		case "leaving":
			k.Leaving = x > 0
		default:
			known = false
		}
	})
	if !known {
		return errUsage
	}
	return nil
}

// platform makes the service answer, answer nothing, or answer as of a
// revision: platform up | down | stale REVISION [node:I] | fresh [node:I].
func (w *World) platform(args []string) error {
	c := w.site.Configuration
	reader := netip.Addr{}
	if len(args) > 1 && strings.HasPrefix(args[len(args)-1], "node:") {
		hosts, err := w.hosts(args[len(args)-1])
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
		c.SetStale(platform.SpaceConfiguration, reader, 0)
	case args[0] == "stale" && len(args) > 1:
		revision, err := strconv.ParseUint(args[1], 10, 64)
		if err != nil {
			return err
		}
		c.SetStale(platform.SpaceConfiguration, reader, revision)
	default:
		return errUsage
	}
	return nil
}

// publish sets a key: publish KEY VALUE.
func (w *World) publish(args []string) error {
	if len(args) != 2 {
		return errUsage
	}
	w.site.Configuration.Publish(platform.SpaceConfiguration, args[0], args[1])
	return nil
}

func (w *World) remove(args []string) error {
	if len(args) != 1 {
		return errUsage
	}
	w.site.Configuration.Remove(platform.SpaceConfiguration, args[0])
	return nil
}

// eventually waits until check holds at each node that runs.
func (w *World) eventually(text string, check func(d node.Dump) error) error {
	within, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	until := time.Now().Add(within)
	for {
		var missing error
		for _, n := range w.site.Nodes() {
			select {
			case <-n.Done():
				continue
			default:
			}
			if err := check(n.Dump()); err != nil {
				missing = fmt.Errorf("%s: %w", n.Caller, err)
			}
		}
		if missing == nil || time.Now().After(until) {
			return missing
		}
		time.Sleep(look)
	}
}

// inForce checks that a revision of a key is in force at all nodes that run,
// within a time: inforce KEY REVISION TIME.
func (w *World) inForce(args []string) error {
	if len(args) != 3 {
		return errUsage
	}
	want, err := strconv.ParseUint(args[1], 10, 64)
	if err != nil {
		return err
	}
	return w.eventually(args[2], func(d node.Dump) error {
		if got := d.Configuration.Revisions[args[0]]; got != want {
			return fmt.Errorf("holds revision %d of %s, want %d", got, args[0], want)
		}
		return nil
	})
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

// arrivals checks how many calls a pool began for a request:
// arrivals NAME POOL COUNT.
func (w *World) arrivals(args []string) error {
	if len(args) != 3 {
		return errUsage
	}
	w.mu.Lock()
	c := w.calls[args[0]]
	w.mu.Unlock()
	want, err := strconv.Atoi(args[2])
	if c == nil || err != nil {
		return errUsage
	}
	got := 0
	for _, s := range w.site.Servers(args[1]) {
		for _, a := range s.Arrivals() {
			if a.Input == c.spec.Input {
				got++
			}
		}
	}
	if got != want {
		return fmt.Errorf("got %d, want %d", got, want)
	}
	return nil
}

// member checks what all others hold of a node, within a time:
// member node:I STATE TIME.
func (w *World) member(args []string) error {
	if len(args) != 3 {
		return errUsage
	}
	i, ok := nodeIndex(args[0])
	if !ok {
		return errUsage
	}
	about := w.site.Nodes()[i].Caller
	return w.eventually(args[2], func(d node.Dump) error {
		for _, m := range d.Members {
			if m.Address == about && m.State.String() != args[1] {
				return fmt.Errorf("holds %s as %s, want %s", about, m.State, args[1])
			}
		}
		return nil
	})
}

// leaving checks that all nodes know within a time that a server is leaving:
// leaving POOL:I TIME.
func (w *World) leaving(args []string) error {
	if len(args) != 2 {
		return errUsage
	}
	s, err := w.server(args[0])
	if err != nil {
		return err
	}
	return w.eventually(args[1], func(d node.Dump) error {
		for _, state := range d.Pools[s.Pool.Name].Servers {
			if state.Address == s.Address && state.Leaving {
				return nil
			}
		}
		return fmt.Errorf("does not know that %s is leaving", s.Address)
	})
}
