// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package campaign

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/wingvale/wingvale/internal/harness"
	"github.com/wingvale/wingvale/internal/protocol"
	"github.com/wingvale/wingvale/internal/standin"
	"github.com/wingvale/wingvale/verdict"
)

// leavingGrace is how long a server listed as leaving may still get new work.
const leavingGrace = 5 * time.Second

// arrival is a call that a server has started to run, with its pool and server.
type arrival struct {
	standin.Arrival
	pool   string
	server *harness.Server
}

// keepArrivals stores the calls of a server before it is replaced.
func (r *run) keepArrivals(s *harness.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replacedArrivals = append(r.replacedArrivals, arrivalsOf(s)...)
}

func arrivalsOf(s *harness.Server) []arrival {
	var all []arrival
	for _, a := range s.Arrivals() {
		all = append(all, arrival{Arrival: a, pool: s.Pool.Name, server: s})
	}
	return all
}

// check compares the answers that callers got with the calls that servers received.
func (r *run) check() {
	all := r.replacedArrivals
	for _, s := range r.site.Servers("") {
		all = append(all, arrivalsOf(s)...)
	}
	byInput := make(map[string][]arrival)
	for _, a := range all {
		byInput[a.Input] = append(byInput[a.Input], a)
	}
	for _, h := range r.endedCalls {
		r.checkCall(h, byInput[h.spec.Input])
	}
	for _, d := range r.duplicates {
		r.checkDuplicate(d, byInput[d.spec.Input])
	}
	for _, s := range r.site.Servers("language-models") {
		r.checkOrders(s)
	}
	for _, l := range r.listedLeaving {
		r.checkLeaving(l, all)
	}
	for i, n := range r.site.Nodes() {
		if d := n.Dump(); d.Running != 0 {
			r.addBreach("node %d still runs %d requests: %+v in pools %+v", i, d.Running, d.Requests.Running, d.Pools)
		}
	}
}

func (r *run) checkCall(h callRecord, arrivals []arrival) {
	if verdict.Of(h.err) == verdict.NotRun && len(arrivals) > 0 {
		r.addBreach("%q was told not run (%v) and ran: %s", h.spec.Input, h.err, describe(arrivals))
	}
	if h.spec.Unrepeatable {
		r.checkOnce(h, arrivals)
	}
	if h.err == nil && h.spec.Unrepeatable && len(arrivals) == 0 {
		r.addBreach("unrepeatable %q was answered and ran nowhere", h.spec.Input)
	}
	if h.err == nil {
		r.checkAnswer(h)
	}
	if h.duration > callTimeout+time.Second {
		r.addBreach("%q took %v", h.spec.Input, h.duration)
	}
}

func (r *run) checkOnce(h callRecord, arrivals []arrival) {
	byStage := make(map[string]int)
	for _, a := range arrivals {
		byStage[a.Stage]++
	}
	for _, stage := range slices.Sorted(maps.Keys(byStage)) {
		if byStage[stage] > 1 {
			r.addBreach("unrepeatable %q ran stage %s %d times: %s", h.spec.Input, stage, byStage[stage], describe(arrivals))
		}
	}
}

func describe(arrivals []arrival) string {
	type line struct {
		Stage, Pool, Server, Request string
		Attempt                      int
		At                           time.Time
	}
	var lines []line
	for _, a := range arrivals {
		id := a.Request.String()
		lines = append(lines, line{a.Stage, a.pool, a.server.Address.String(), id[len(id)-40:], a.Attempt, a.StartedAt})
	}
	text, _ := json.Marshal(lines)
	return string(text)
}

// checkAnswer checks that an answer is exactly the expected text or receipt.
func (r *run) checkAnswer(h callRecord) {
	switch h.spec.Pipeline {
	case "recipe-explanation", "season-review":
		want, err := standin.ExpectedAnswer(Site().Documents, h.spec.Input)
		if err != nil || h.answer.Text != want {
			r.addBreach("%q was answered %q, want %q", h.spec.Input, h.answer.Text, want)
		}
	default:
		var got standin.Receipt
		err := json.Unmarshal([]byte(h.answer.Text), &got)
		if err != nil || got.Input != h.spec.Input || got.Request != h.answer.ID.String() {
			r.addBreach("%q was answered with the receipt %q", h.spec.Input, h.answer.Text)
		}
	}
}

// checkOrders checks that an engine was never ordered to load an older version than before, and
// that it has the published version at the end.
func (r *run) checkOrders(s *harness.Server) {
	last := 0
	for _, o := range s.Engine.Orders() {
		version, err := strconv.Atoi(strings.TrimPrefix(o.Version, "v"))
		if err != nil || o.Action != protocol.ActionLoad {
			continue
		}
		if version < last {
			r.addBreach("engine %s was ordered from v%d back to v%d", s.Address, last, version)
		}
		last = version
	}
	want := protocol.LoadedModel{Model: "colour-guide", Version: fmt.Sprintf("v%d", r.version), Ready: true}
	for _, l := range s.Engine.State().Models {
		if l.Model == want.Model && l.Version == want.Version && l.Ready {
			return
		}
	}
	r.addBreach("engine %s ended with %+v, want %s %s", s.Address, s.Engine.State().Models, want.Model, want.Version)
}

// checkLeaving checks that a server got no new work while it was listed as leaving, apart from the
// first leavingGrace. It checks nothing if a fault may have delayed the spread of the change.
func (r *run) checkLeaving(l listedServer, all []arrival) {
	if r.delaysEndAt.After(l.listedAt) {
		return
	}
	for _, a := range all {
		if a.server == l.server && a.StartedAt.After(l.listedAt.Add(leavingGrace)) && a.StartedAt.Before(l.unlistedAt) {
			r.addBreach("%s got new work %v after it was listed as leaving", a.server.Address, a.StartedAt.Sub(l.listedAt))
		}
	}
}
