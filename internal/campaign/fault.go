// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package campaign

import (
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/wingvale/wingvale/internal/harness"
	"github.com/wingvale/wingvale/internal/standin"
)

// meanFaultInterval is the mean time between two faults.
const meanFaultInterval = 700 * time.Millisecond

// fault injects a fault. It returns a function that ends the fault, and how long the fault lasts.
// It returns nil if no target is available.
type fault func(r *run) (end func(), duration time.Duration)

var faults = map[string]fault{
	"kill node":         killNode,
	"pause node":        pauseNode,
	"stop node":         stopNode,
	"cut nodes":         cutNodes,
	"cut one way":       cutOneWay,
	"cut callers":       cutCallers,
	"cut servers":       cutServers,
	"isolate node":      isolateNode,
	"isolate zone":      isolateZone,
	"server silent":     silenceServer,
	"kill server":       killServer,
	"server fails":      setKnob(func(k *standin.Knobs) { k.FailShare = 0.5 }),
	"server hangs":      setKnob(func(k *standin.Knobs) { k.HangShare = 0.3 }),
	"server mislabels":  setKnob(func(k *standin.Knobs) { k.MislabelShare = 0.5 }),
	"server cuts":       setKnob(func(k *standin.Knobs) { k.CutShare = 0.7 }),
	"server refuses":    setKnob(func(k *standin.Knobs) { k.RefuseShare = 0.7 }),
	"server slow":       setKnob(func(k *standin.Knobs) { k.SlowFactor = 20 }),
	"server leaves":     serverLeaves,
	"list says leaving": listLeaves,
	"platform down":     platformDown,
	"platform stale":    platformStale,
	"list lags":         listLags,
	"change":            publishChange,
	"invalid change":    publishInvalid,
	"removal":           publishRemoval,
	"fork":              publishFork,
	"model version":     publishVersion,
}

// FaultKinds returns the names of all kinds of faults in alphabetical order.
func FaultKinds() []string {
	return slices.Sorted(maps.Keys(faults))
}

func (r *run) injectFaults(tasks *sync.WaitGroup, end time.Time) {
	kinds := FaultKinds()
	if r.options.OnlyKind != "" {
		kinds = []string{r.options.OnlyKind}
	}
	for time.Now().Before(end) {
		time.Sleep(time.Duration(r.random.ExpFloat64() * float64(meanFaultInterval)))
		kind := kinds[r.random.IntN(len(kinds))]
		endFault, duration := faults[kind](r)
		if endFault == nil {
			continue
		}
		r.faults[kind]++
		tasks.Go(func() {
			time.Sleep(duration)
			endFault()
		})
	}
}

// randomDuration returns a random duration of at least minimum and less than maximum.
func (r *run) randomDuration(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(r.random.Int64N(int64(maximum-minimum)))
}

// markFaulty marks a node, pool or service as affected by a fault. It reports false if it already
// is.
func (r *run) markFaulty(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.faulty[name] {
		return false
	}
	r.faulty[name] = true
	return true
}

func (r *run) unmarkFaulty(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.faulty, name)
}

// extendDelays records that a fault may delay the spread of changes until a time.
func (r *run) extendDelays(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until.After(r.delaysEndAt) {
		r.delaysEndAt = until
	}
}

// pickNode picks a random node and marks it as faulty. It reports false if the node already is
// faulty or if less than three nodes are left without a fault: two nodes must stay healthy, so that
// most faults affect a working site.
func (r *run) pickNode() (int, string, bool) {
	i := r.random.IntN(len(r.site.Nodes()))
	name := "node " + strconv.Itoa(i)
	r.mu.Lock()
	faultyNodes := 0
	for other := range r.faulty {
		if len(other) > 4 && other[:4] == "node" {
			faultyNodes++
		}
	}
	r.mu.Unlock()
	if faultyNodes >= len(r.site.Nodes())-2 {
		return 0, "", false
	}
	return i, name, r.markFaulty(name)
}

func killNode(r *run) (func(), time.Duration) {
	i, name, ok := r.pickNode()
	if !ok {
		return nil, 0
	}
	r.checker.markDown(i)
	r.site.KillNode(i)
	duration := r.randomDuration(100*time.Millisecond, 10*time.Second)
	r.extendDelays(time.Now().Add(duration))
	return func() { r.restartNode(i, name) }, duration
}

func (r *run) restartNode(i int, name string) {
	if err := r.site.StartNode(i); err != nil {
		r.addBreach("node %d does not start again: %v", i, err)
	}
	r.checker.markUp(i)
	r.unmarkFaulty(name)
}

func stopNode(r *run) (func(), time.Duration) {
	i, name, ok := r.pickNode()
	if !ok {
		return nil, 0
	}
	n := r.site.Nodes()[i]
	n.Stop()
	return func() {
		<-n.Done()
		r.checker.markDown(i)
		time.Sleep(time.Second)
		r.restartNode(i, name)
	}, time.Millisecond
}

func pauseNode(r *run) (func(), time.Duration) {
	i, name, ok := r.pickNode()
	if !ok {
		return nil, 0
	}
	host := r.site.Nodes()[i].Caller.Addr()
	r.network.Freeze(host, true)
	duration := r.randomDuration(500*time.Millisecond, 12*time.Second)
	r.extendDelays(time.Now().Add(duration))
	return func() {
		r.network.Freeze(host, false)
		r.unmarkFaulty(name)
	}, duration
}

// randomSides splits the nodes at random into two sides.
func (r *run) randomSides() (a, b []netip.Addr) {
	for _, n := range r.site.Nodes() {
		if r.random.IntN(2) == 0 {
			a = append(a, n.Caller.Addr())
			continue
		}
		b = append(b, n.Caller.Addr())
	}
	return a, b
}

func (r *run) cutLinks(a, b []netip.Addr, both bool, maxDuration time.Duration) (func(), time.Duration) {
	each := func(do func(from, to netip.Addr)) {
		for _, fromHost := range a {
			for _, toHost := range b {
				do(fromHost, toHost)
				if both {
					do(toHost, fromHost)
				}
			}
		}
	}
	each(r.network.Cut)
	duration := r.randomDuration(500*time.Millisecond, maxDuration)
	r.extendDelays(time.Now().Add(duration))
	return func() { each(r.network.Heal) }, duration
}

func cutNodes(r *run) (func(), time.Duration) {
	a, b := r.randomSides()
	return r.cutLinks(a, b, true, 15*time.Second)
}

func cutOneWay(r *run) (func(), time.Duration) {
	a, b := r.randomSides()
	return r.cutLinks(a, b, false, 10*time.Second)
}

func cutCallers(r *run) (func(), time.Duration) {
	n := r.site.Nodes()[r.random.IntN(len(r.site.Nodes()))]
	caller, err := harness.Memory{}.Address(60000+r.random.IntN(callerCount), 0)
	if err != nil {
		return nil, 0
	}
	return r.cutLinks([]netip.Addr{n.Caller.Addr()}, []netip.Addr{caller.Addr()}, r.random.IntN(2) == 0, 8*time.Second)
}

func cutServers(r *run) (func(), time.Duration) {
	n := r.site.Nodes()[r.random.IntN(len(r.site.Nodes()))]
	servers := r.site.Servers("")
	s := servers[r.random.IntN(len(servers))]
	return r.cutLinks([]netip.Addr{n.Caller.Addr()}, []netip.Addr{s.Address.Addr()}, r.random.IntN(2) == 0, 6*time.Second)
}

// pickServer picks a random server and marks its pool as faulty. It reports false if the pool
// already is faulty or has only one server, so that each pool keeps a healthy server.
func (r *run) pickServer() (*harness.Server, string, bool) {
	servers := r.site.Servers("")
	s := servers[r.random.IntN(len(servers))]
	if len(r.site.Servers(s.Pool.Name)) < 2 {
		return nil, "", false
	}
	name := "pool " + s.Pool.Name
	return s, name, r.markFaulty(name)
}

func killServer(r *run) (func(), time.Duration) {
	s, name, ok := r.pickServer()
	if !ok {
		return nil, 0
	}
	r.keepArrivals(s)
	r.site.KillServer(s)
	return func() {
		r.replaceServer(s)
		r.unmarkFaulty(name)
	}, r.randomDuration(100*time.Millisecond, 8*time.Second)
}

// replaceServer starts a server as a new instance. A new instance of an engine starts without
// models.
func (r *run) replaceServer(s *harness.Server) {
	s.Instance += "+"
	if err := r.site.StartServer(s); err != nil {
		r.addBreach("server %s does not start again: %v", s.Instance, err)
	}
}

func setKnob(change func(k *standin.Knobs)) fault {
	return func(r *run) (func(), time.Duration) {
		s, name, ok := r.pickServer()
		if !ok {
			return nil, 0
		}
		var before standin.Knobs
		s.SetKnobs(func(k *standin.Knobs) {
			before = *k
			change(k)
		})
		return func() {
			s.SetKnobs(func(k *standin.Knobs) { *k = before })
			r.unmarkFaulty(name)
		}, r.randomDuration(500*time.Millisecond, 8*time.Second)
	}
}

// serverLeaves makes a server report that it is leaving. It completes its work until the
// end of the fault, when it is killed and replaced by a new instance.
func serverLeaves(r *run) (func(), time.Duration) {
	s, name, ok := r.pickServer()
	if !ok {
		return nil, 0
	}
	s.SetKnobs(func(k *standin.Knobs) { k.Leaving = true })
	return func() {
		r.keepArrivals(s)
		r.site.KillServer(s)
		time.Sleep(time.Second)
		r.replaceServer(s)
		r.unmarkFaulty(name)
	}, r.randomDuration(6*time.Second, 12*time.Second)
}

// listLeaves marks a server as leaving in the host list only.
func listLeaves(r *run) (func(), time.Duration) {
	s, name, ok := r.pickServer()
	if !ok {
		return nil, 0
	}
	s.Host.Leaving = true
	if err := r.site.ListHost(s.Host); err != nil {
		return nil, 0
	}
	r.mu.Lock()
	r.listedLeaving = append(r.listedLeaving, listedServer{server: s, listedAt: time.Now()})
	index := len(r.listedLeaving) - 1
	r.mu.Unlock()
	return func() {
		r.mu.Lock()
		r.listedLeaving[index].unlistedAt = time.Now()
		r.mu.Unlock()
		s.Host.Leaving = false
		if err := r.site.ListHost(s.Host); err != nil {
			r.addBreach("list: %v", err)
		}
		r.unmarkFaulty(name)
	}, r.randomDuration(6*time.Second, 14*time.Second)
}
