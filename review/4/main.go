// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

//go:build review

// Command 4 shows that a configuration is never put in force if it has a route whose stages are listed in
// another order than they run in.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/wingvale/wingvale/review/harness"
)

const (
	rate = 50
	// before and after are for how long requests come before and after the change.
	before = 5 * time.Second
	after  = 15 * time.Second
	// applyTime is config_apply_ms.
	applyTime = 2000 * time.Millisecond
	workTime  = 20 * time.Millisecond
	deadline  = 3 * time.Second
	host      = "jepu9.example"
	// movedPath is of the route that the new version moves to another service, and addedPath of the one
	// that it adds.
	movedPath = "/bobo563/2f"
	addedPath = "/wuhu344/2f"
	// keptKey stays, takenKey is taken away by the new version.
	keptKey  = "9dnn2ctnfzs989anu6ws"
	takenKey = "nbkxxmibw6kpqk8bdk9e"
	runners  = 2
)

const (
	oldService = "record-api"
	newService = "record-api-2"
)

// sent is what a caller has sent.
type sent struct {
	path, key string
	at        time.Time
}

// ledger has what callers have sent and servers have seen.
type ledger struct {
	record *harness.Record

	mu       sync.Mutex
	requests map[string]sent
	// confirmedAt is when the store had taken the new version; zero before.
	confirmedAt time.Time
	// The counts are of requests sent later than applyTime after that.
	late, byOldService, withTakenKey, refused, right int
}

// isLate reports whether a request was sent when the new version had to be in force. The mutex must be held.
func (l *ledger) isLate(s sent) bool {
	return !l.confirmedAt.IsZero() && s.at.Sub(l.confirmedAt) > applyTime
}

func (l *ledger) serve(r *harness.Runner, request *http.Request, _ []byte) harness.Answer {
	id := request.Header.Get("Attempt-Id")
	l.mu.Lock()
	s, known := l.requests[id]
	l.record.Line("%s of %s runs %s", r.ID, r.Service, id)
	if known && l.isLate(s) {
		if s.path == movedPath && r.Service == oldService {
			l.byOldService++
		}
		if s.key == takenKey {
			l.withTakenKey++
		}
	}
	l.mu.Unlock()
	time.Sleep(workTime)
	return harness.Answer{Status: http.StatusOK, Body: []byte("the answer to " + id)}
}

// judge records what a caller got.
func (l *ledger) judge(node string, id string, s sent, a harness.Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record.Line("request %s (%s, key %.4s) at %s answered: status %d, %d bytes, error %v", id, s.path, s.key, node, a.Status, len(a.Body), a.Err)
	if !l.isLate(s) {
		return
	}
	l.late++
	switch {
	case s.key == keptKey && (a.Status == http.StatusUnauthorized || a.Status == http.StatusNotFound):
		l.refused++
	case s.key == keptKey && a.Status == http.StatusOK, s.key == takenKey && a.Status == http.StatusUnauthorized:
		l.right++
	}
}

func plainRoute(name, prefix, service string) map[string]any {
	return map[string]any{
		"name": name, "hostname": host, "path_prefix": prefix, "kind": "idempotent", "timeout_ms": 3000, "target_latency_ms": 300,
		"priority": 0, "service": service, "max_attempts": 2, "public": false,
	}
}

// configuration returns a version. Changed is the new one, in which a stage stands before the one that it
// comes after if reordered.
func configuration(version int, changed, reordered bool) map[string]any {
	service, keys := oldService, []string{keptKey, takenKey}
	var routes []any
	if changed {
		service, keys = newService, []string{keptKey}
		stages := []any{
			map[string]any{"service": "scan-intake", "after_rev": []int{}, "bytes": 8000},
			map[string]any{"service": "coop-board", "after_rev": []int{0}, "bytes": 8000},
		}
		if reordered {
			stages = []any{
				map[string]any{"service": "coop-board", "after_rev": []int{1}, "bytes": 8000},
				map[string]any{"service": "scan-intake", "after_rev": []int{}, "bytes": 8000},
			}
		}
		routes = append(routes, plainRoute("r-2", "/wuhu344/", newService), map[string]any{
			"name": "r-3", "hostname": host, "path_prefix": "/puxa400/", "kind": "stream", "timeout_ms": 8000, "target_latency_ms": 1600,
			"priority": 0, "service": "logbook-llm", "max_attempts": 1, "stages": stages, "public": false, "sticky": true, "resumable": false,
			"gap_aim_ms": 200,
		})
	}
	routes = append(routes, plainRoute("r-1", "/bobo563/", service))
	plain := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false}
	}
	stage := func(name string) map[string]any {
		s := plain(name)
		s["pieces"] = map[string]any{
			"slots": 1, "queue": 2, "batch": 8, "call_ms": 150.0, "item_ms": 16.0, "headroom_mb": 39.0, "handle_s": 4.0, "link_mbps": 10000,
		}
		return s
	}
	engine := plain("logbook-llm")
	engine["engine"] = map[string]any{
		"slots": 64, "kv_capacity_tokens": 614608, "kv_token_bytes": 163840, "link_mbps": 260000.0, "moves": true, "backups": true,
		"stride": 5, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{plain(oldService), plain(newService), engine, stage("scan-intake"), stage("coop-board")},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "bozi300", "api_keys": keys, "priority": 1}},
	}
}

// run plays the case and returns its exit code.
func run(binary, recordPath string, trouble bool) (int, error) {
	record, err := harness.NewRecord(recordPath)
	if err != nil {
		return harness.ExitNotRun, err
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review-4-")
	if err != nil {
		return harness.ExitNotRun, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	store, err := harness.NewStore()
	if err != nil {
		return harness.ExitNotRun, err
	}
	defer store.Close()
	l := &ledger{record: record, requests: make(map[string]sent)}
	zones := []string{"hall-cj1", "hall-cj2", "hall-dej"}
	for i := range 2 * runners {
		r := &harness.Runner{ID: fmt.Sprintf("i-%d", 10+i), Service: oldService, Zone: zones[i%len(zones)], Slots: 24, Handle: l.serve}
		if i >= runners {
			r.Service = newService
		}
		if err := r.Start(); err != nil {
			return harness.ExitNotRun, err
		}
		defer r.Close()
		store.Put("servers/"+r.ID, r.Entry("ready"))
	}
	store.Put("op/config", configuration(7, false, false))
	nodes, err := harness.NewNodes(binary, dir, store.Address, zones...)
	if err != nil {
		return harness.ExitNotRun, err
	}
	for _, n := range nodes {
		if err := n.Start(); err != nil {
			return harness.ExitNotRun, err
		}
		defer n.Kill()
	}
	for _, n := range nodes {
		if err := n.AwaitReady(10 * time.Second); err != nil {
			return harness.ExitNotRun, err
		}
	}
	time.AfterFunc(before, func() {
		confirmed := store.Put("op/config", configuration(9, true, trouble))
		l.mu.Lock()
		l.confirmedAt = confirmed
		l.mu.Unlock()
		record.Line("the store has taken version 9")
	})
	load(l, nodes)
	l.mu.Lock()
	defer l.mu.Unlock()
	record.Say("of %d requests sent later than %d ms after the confirmation of version 9: %d run by the old service, %d run with the key that was taken away, %d refused with 401 or 404 though route and key are there, %d got the status that version 9 asks for",
		l.late, applyTime.Milliseconds(), l.byOldService, l.withTakenKey, l.refused, l.right)
	switch {
	case l.byOldService+l.withTakenKey+l.refused > 0:
		return harness.ExitBroken, nil
	case l.right == 0:
		return harness.ExitNotRun, fmt.Errorf("no request was handled")
	}
	return harness.ExitHeld, nil
}

// load sends requests for the whole time of the case.
func load(l *ledger, nodes []*harness.Node) {
	client := harness.NewClient()
	var all sync.WaitGroup
	ticker := time.NewTicker(time.Second / rate)
	defer ticker.Stop()
	for range int((before + after).Seconds() * rate) {
		<-ticker.C
		node := nodes[rand.IntN(len(nodes))]
		s := sent{path: movedPath, key: keptKey, at: time.Now()}
		switch rand.IntN(10) {
		case 0:
			s.key = takenKey
		case 1:
			s.path = addedPath
		}
		q := harness.Request{ID: harness.NewID(), Method: http.MethodGet, Host: host, Path: s.path, Key: s.key, Deadline: deadline}
		l.mu.Lock()
		l.requests[q.ID] = s
		l.mu.Unlock()
		all.Go(func() { l.judge(node.Name, q.ID, s, harness.Send(client, node.Front, q)) })
	}
	all.Wait()
}

func main() {
	binary := flag.String("binary", "target/wingvaled", "the daemon")
	path := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	flag.Parse()
	code, err := run(*binary, *path, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}
