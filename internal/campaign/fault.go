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

// everyFault is the mean time between two faults.
const everyFault = 700 * time.Millisecond

// fault makes one fault, and returns how it ends and after how long. It
// returns nil where nothing is free to be hurt.
type fault func(r *run) (end func(), after time.Duration)

var faults = map[string]fault{
	"kill node":         killNode,
	"pause node":        pauseNode,
	"stop node":         stopNode,
	"cut nodes":         cutNodes,
	"cut one way":       cutOneWay,
	"cut callers":       cutCallers,
	"cut servers":       cutServers,
	"kill server":       killServer,
	"server fails":      knob(func(k *standin.Knobs) { k.Fail = 0.5 }),
	"server hangs":      knob(func(k *standin.Knobs) { k.Hang = 0.3 }),
	"server mislabels":  knob(func(k *standin.Knobs) { k.Mislabel = 0.5 }),
	"server cuts":       knob(func(k *standin.Knobs) { k.Cut = 0.7 }),
	"server refuses":    knob(func(k *standin.Knobs) { k.Refuse = 0.7 }),
	"server slow":       knob(func(k *standin.Knobs) { k.Slow = 20 }),
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

// Kinds returns the names of all faults.
func Kinds() []string {
	return slices.Sorted(maps.Keys(faults))
}

func (r *run) makeFaults(all *sync.WaitGroup, end time.Time) {
	kinds := Kinds()
	if r.options.Only != "" {
		kinds = []string{r.options.Only}
	}
	for time.Now().Before(end) {
		time.Sleep(time.Duration(r.random.ExpFloat64() * float64(everyFault)))
		kind := kinds[r.random.IntN(len(kinds))]
		stop, after := faults[kind](r)
		if stop == nil {
			continue
		}
		r.faults[kind]++
		all.Go(func() {
			time.Sleep(after)
			stop()
		})
	}
}

// between returns a random time.
func (r *run) between(least, most time.Duration) time.Duration {
	return least + time.Duration(r.random.Int64N(int64(most-least)))
}

// take marks something as hurt, unless it is already.
func (r *run) take(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy[name] {
		return false
	}
	r.busy[name] = true
	return true
}

func (r *run) release(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.busy, name)
}

// hides notes that news may be held back until a time.
func (r *run) hides(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until.After(r.disturbed) {
		r.disturbed = until
	}
}

// pickNode takes a random node that nothing has hold of. Two at least stay
// whole, so that a majority of faults meets a working site.
func (r *run) pickNode() (int, string, bool) {
	i := r.random.IntN(len(r.site.Nodes()))
	name := "node " + strconv.Itoa(i)
	r.mu.Lock()
	hurt := 0
	for other := range r.busy {
		if len(other) > 4 && other[:4] == "node" {
			hurt++
		}
	}
	r.mu.Unlock()
	if hurt >= len(r.site.Nodes())-2 {
		return 0, "", false
	}
	return i, name, r.take(name)
}

func killNode(r *run) (func(), time.Duration) {
	i, name, ok := r.pickNode()
	if !ok {
		return nil, 0
	}
	r.checker.forget(i)
	r.site.KillNode(i)
	after := r.between(100*time.Millisecond, 10*time.Second)
	r.hides(time.Now().Add(after))
	return func() { r.restart(i, name) }, after
}

func (r *run) restart(i int, name string) {
	if err := r.site.StartNode(i); err != nil {
		r.breach("node %d does not start again: %v", i, err)
	}
	r.checker.remember(i)
	r.release(name)
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
		r.checker.forget(i)
		time.Sleep(time.Second)
		r.restart(i, name)
	}, time.Millisecond
}

func pauseNode(r *run) (func(), time.Duration) {
	i, name, ok := r.pickNode()
	if !ok {
		return nil, 0
	}
	host := r.site.Nodes()[i].Caller.Addr()
	r.network.Freeze(host, true)
	after := r.between(500*time.Millisecond, 12*time.Second)
	r.hides(time.Now().Add(after))
	return func() {
		r.network.Freeze(host, false)
		r.release(name)
	}, after
}

// sides splits the nodes in two.
func (r *run) sides() (a, b []netip.Addr) {
	for _, n := range r.site.Nodes() {
		if r.random.IntN(2) == 0 {
			a = append(a, n.Caller.Addr())
			continue
		}
		b = append(b, n.Caller.Addr())
	}
	return a, b
}

func (r *run) cut(a, b []netip.Addr, both bool, most time.Duration) (func(), time.Duration) {
	each := func(do func(from, to netip.Addr)) {
		for _, x := range a {
			for _, y := range b {
				do(x, y)
				if both {
					do(y, x)
				}
			}
		}
	}
	each(r.network.Cut)
	after := r.between(500*time.Millisecond, most)
	r.hides(time.Now().Add(after))
	return func() { each(r.network.Heal) }, after
}

func cutNodes(r *run) (func(), time.Duration) {
	a, b := r.sides()
	return r.cut(a, b, true, 15*time.Second)
}

func cutOneWay(r *run) (func(), time.Duration) {
	a, b := r.sides()
	return r.cut(a, b, false, 10*time.Second)
}

func cutCallers(r *run) (func(), time.Duration) {
	n := r.site.Nodes()[r.random.IntN(len(r.site.Nodes()))]
	caller, err := harness.Memory{}.Address(60000+r.random.IntN(callers), 0)
	if err != nil {
		return nil, 0
	}
	return r.cut([]netip.Addr{n.Caller.Addr()}, []netip.Addr{caller.Addr()}, r.random.IntN(2) == 0, 8*time.Second)
}

func cutServers(r *run) (func(), time.Duration) {
	n := r.site.Nodes()[r.random.IntN(len(r.site.Nodes()))]
	servers := r.site.Servers("")
	s := servers[r.random.IntN(len(servers))]
	return r.cut([]netip.Addr{n.Caller.Addr()}, []netip.Addr{s.Address.Addr()}, r.random.IntN(2) == 0, 6*time.Second)
}

// pickServer takes a random server that nothing has hold of, and leaves each
// pool one that is whole.
func (r *run) pickServer() (*harness.Server, string, bool) {
	servers := r.site.Servers("")
	s := servers[r.random.IntN(len(servers))]
	if len(r.site.Servers(s.Pool.Name)) < 2 {
		return nil, "", false
	}
	name := "pool " + s.Pool.Name
	return s, name, r.take(name)
}

func killServer(r *run) (func(), time.Duration) {
	s, name, ok := r.pickServer()
	if !ok {
		return nil, 0
	}
	r.keepArrivals(s)
	r.site.KillServer(s)
	return func() {
		r.renew(s)
		r.release(name)
	}, r.between(100*time.Millisecond, 8*time.Second)
}

// renew starts a server as a new instance, which engines start without models.
func (r *run) renew(s *harness.Server) {
	s.Instance += "+"
	if err := r.site.StartServer(s); err != nil {
		r.breach("server %s does not start again: %v", s.Instance, err)
	}
}

func knob(change func(k *standin.Knobs)) fault {
	return func(r *run) (func(), time.Duration) {
		s, name, ok := r.pickServer()
		if !ok {
			return nil, 0
		}
		var before standin.Knobs
		s.Set(func(k *standin.Knobs) {
			before = *k
			change(k)
		})
		return func() {
			s.Set(func(k *standin.Knobs) { *k = before })
			r.release(name)
		}, r.between(500*time.Millisecond, 8*time.Second)
	}
}

// serverLeaves makes a server say itself that it is leaving. It ends what it
// has, goes, and a new instance comes.
func serverLeaves(r *run) (func(), time.Duration) {
	s, name, ok := r.pickServer()
	if !ok {
		return nil, 0
	}
	s.Set(func(k *standin.Knobs) { k.Leaving = true })
	return func() {
		r.keepArrivals(s)
		r.site.KillServer(s)
		time.Sleep(time.Second)
		r.renew(s)
		r.release(name)
	}, r.between(6*time.Second, 12*time.Second)
}

// listLeaves makes only the host list say that a server is leaving.
func listLeaves(r *run) (func(), time.Duration) {
	s, name, ok := r.pickServer()
	if !ok {
		return nil, 0
	}
	s.Host.Leaving = true
	if err := r.site.List(s.Host); err != nil {
		return nil, 0
	}
	r.mu.Lock()
	r.listed = append(r.listed, leave{server: s, since: time.Now()})
	at := len(r.listed) - 1
	r.mu.Unlock()
	return func() {
		r.mu.Lock()
		r.listed[at].until = time.Now()
		r.mu.Unlock()
		s.Host.Leaving = false
		if err := r.site.List(s.Host); err != nil {
			r.breach("list: %v", err)
		}
		r.release(name)
	}, r.between(6*time.Second, 14*time.Second)
}
