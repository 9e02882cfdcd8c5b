// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package explain

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

const (
	// maxEngines bounds the engines that are counted. When there are more, the half with the
	// fewest late streams is dropped: engines that restart come back under new names, so a long
	// log has many that matter no longer.
	maxEngines = 4096
	// topEngines is the number of engines that are printed.
	topEngines = 10
)

// row is the requests of one name.
type row struct {
	counts [resultCount]int
	// lost is the sum of the times of the late requests.
	lost parts
}

// total returns the number of requests.
func (r *row) total() int {
	sum := 0
	for _, n := range r.counts {
		sum += n
	}
	return sum
}

// late returns the number of late requests.
func (r *row) late() int {
	return r.counts[resultLateFirst] + r.counts[resultLateGap]
}

// table holds the rows of one kind of name.
type table struct {
	kind string
	// stagesOnly says that the rows have the times of stages, but not those after them.
	stagesOnly bool
	// rows has at most maxRows names, and otherRows.
	rows map[string]*row
}

func newTable(kind string) table {
	return table{kind: kind, rows: make(map[string]*row)}
}

// add counts one request.
func (t table) add(name string, ended result, lost parts) {
	name = cleanName(name)
	r := t.rows[name]
	if r == nil && len(t.rows) >= maxRows {
		name = otherRows
		r = t.rows[name]
	}
	if r == nil {
		r = &row{}
		t.rows[name] = r
	}
	r.counts[ended]++
	if ended == resultLateFirst || ended == resultLateGap {
		r.lost.add(lost)
	}
}

// write writes the rows, those with the most requests that were not in time first.
func (t table) write(b *strings.Builder) {
	names := slices.SortedFunc(maps.Keys(t.rows), func(a, b string) int {
		one, other := t.rows[a], t.rows[b]
		missedOne, missedOther := one.total()-one.counts[resultInTime], other.total()-other.counts[resultInTime]
		return cmp.Or(cmp.Compare(missedOther, missedOne), cmp.Compare(other.total(), one.total()), strings.Compare(a, b))
	})
	fmt.Fprintf(b, "%s\trequests\tin time\tlate first\tlate gap\trefused\tfailed\tcut\tleft\tqueue\tcall\troom\tengine\tgap\n", t.kind)
	for _, name := range names {
		r := t.rows[name]
		fmt.Fprintf(b, "%s\t%d", name, r.total())
		for _, n := range r.counts {
			fmt.Fprintf(b, "\t%d", n)
		}
		late := max(float64(r.late()), 1)
		fmt.Fprintf(b, "\t%.0f\t%.0f\t%.0f", r.lost.queue/late, r.lost.call/late, r.lost.room/late)
		if t.stagesOnly {
			b.WriteString("\t-\t-\n")
			continue
		}
		fmt.Fprintf(b, "\t%.0f\t%.0f\n", r.lost.engine/late, r.lost.gap/late)
	}
	b.WriteString("\n")
}

// engineRow is the streams of one engine.
type engineRow struct {
	streams, lateFirst, lateGap int
	// speed is the last known speed, 1 for the median.
	speed float64
}

func (e *engineRow) late() int {
	return e.lateFirst + e.lateGap
}

// engineTable counts streams by engine.
type engineTable struct {
	rows map[string]*engineRow
}

func newEngineTable() engineTable {
	return engineTable{rows: make(map[string]*engineRow)}
}

// add counts one stream.
func (t engineTable) add(name string, speed float64, ended result) {
	e := t.rows[name]
	if e == nil {
		if len(t.rows) >= maxEngines {
			t.dropHalf()
		}
		e = &engineRow{}
		t.rows[name] = e
	}
	e.streams++
	e.speed = speed
	switch ended {
	case resultLateFirst:
		e.lateFirst++
	case resultLateGap:
		e.lateGap++
	}
}

// sorted returns the names of the engines, those with the most late streams first.
func (t engineTable) sorted() []string {
	return slices.SortedFunc(maps.Keys(t.rows), func(a, b string) int {
		one, other := t.rows[a], t.rows[b]
		return cmp.Or(cmp.Compare(other.late(), one.late()), cmp.Compare(other.streams, one.streams), strings.Compare(a, b))
	})
}

// dropHalf drops the half of the engines with the fewest late streams.
func (t engineTable) dropHalf() {
	for _, name := range t.sorted()[maxEngines/2:] {
		delete(t.rows, name)
	}
}

// write writes the engines with the most late streams.
func (t engineTable) write(b *strings.Builder) {
	if len(t.rows) == 0 {
		return
	}
	b.WriteString("engine\tspeed\tstreams\tlate first\tlate gap\n")
	for i, name := range t.sorted() {
		e := t.rows[name]
		if i == topEngines || e.late() == 0 {
			break
		}
		fmt.Fprintf(b, "%s\t%.2f\t%d\t%d\t%d\n", name, e.speed, e.streams, e.lateFirst, e.lateGap)
	}
}

// Write writes the summary as text. The times are means over the late requests in milliseconds.
func (s *Summary) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%d requests ended; %d lines could not be read\n", s.requests, s.unread)
	b.WriteString("queue, call, room (part of queue), engine, gap: mean ms of the late requests\n\n")
	for _, t := range []table{s.routes, s.workspaces, s.zones, s.pools} {
		if len(t.rows) > 0 {
			t.write(&b)
		}
	}
	s.engines.write(&b)
	aligned := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, err := io.WriteString(aligned, b.String())
	if err := errors.Join(err, aligned.Flush()); err != nil {
		return fmt.Errorf("explain: %w", err)
	}
	return nil
}
