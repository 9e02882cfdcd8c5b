// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

//go:build review

// Command 5 shows that the stages of a route whose answers aren't streams are never worked on, and that its
// requests reach their runners without inputs.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wingvale/wingvale/review/harness"
)

const (
	// rate is the number of requests a second, loadTime for how long they come.
	rate     = 15
	loadTime = 20 * time.Second
	// callTime and itemTime are those of scan-intake on the sheet.
	callTime = 150 * time.Millisecond
	itemTime = 16 * time.Millisecond
	workTime = 60 * time.Millisecond
	deadline = 8 * time.Second
	host     = "pule25.example"
	path     = "/puxa400/2f"
	key      = "9dnn2ctnfzs989anu6ws"
	engines  = 3
	// makers is the number of the servers of the stage.
	makers = 3
)

// ledger has what callers have sent and servers have seen.
type ledger struct {
	record *harness.Record
	stream bool

	mu sync.Mutex
	// pieces has the number of pieces by request, and results the request of each result.
	pieces  map[string]int
	results map[string]string
	runs    int
	calls   atomic.Int64
	// lacking counts the requests that reached a runner without the results of their pieces.
	lacking int
}

func (l *ledger) engine(r *harness.Runner, request *http.Request, _ []byte) harness.Answer {
	id := request.Header.Get("Attempt-Id")
	inputs := strings.Split(request.Header.Get("Inputs"), ",")
	l.mu.Lock()
	lacking := l.pieces[id]
	for _, handle := range inputs {
		if l.results[handle] == id {
			lacking--
		}
	}
	l.runs++
	if lacking > 0 {
		l.lacking++
		l.record.Line("MIXED: %s gets request %s without %d of its %d inputs", r.ID, id, lacking, l.pieces[id])
	}
	l.mu.Unlock()
	if lacking > 0 {
		return harness.Answer{Status: http.StatusBadRequest, Header: http.Header{"Not-Executed": {"1"}}}
	}
	l.record.Line("%s runs %s with inputs %v", r.ID, id, inputs)
	if !l.stream {
		time.Sleep(workTime)
		return harness.JSONAnswer(http.StatusOK, map[string]any{"answer": id})
	}
	var events []string
	for i := range 10 {
		events = append(events, fmt.Sprintf("id: %d\ndata: %s %d\n\n", i+1, id, i+1))
	}
	return harness.Answer{Status: http.StatusOK, Events: events, Pause: 17 * time.Millisecond}
}

func (l *ledger) stage(r *harness.Runner, request *http.Request, body []byte) harness.Answer {
	if request.URL.Path != "/wingvale/stage-run" {
		return harness.Answer{Status: http.StatusOK}
	}
	pieces, err := harness.Pieces(body)
	if err != nil {
		return harness.Answer{Status: http.StatusBadRequest, Header: http.Header{"Not-Executed": {"1"}}}
	}
	l.calls.Add(1)
	time.Sleep(callTime + time.Duration(len(pieces))*itemTime)
	items := make([]map[string]string, 0, len(pieces))
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range pieces {
		handle := fmt.Sprintf("%s/%x", r.Address, len(l.results)+0x1000)
		l.results[handle] = p.ID
		l.record.Line("%s made %s: piece %d of request %s", r.ID, handle, p.Piece, p.ID)
		items = append(items, map[string]string{"handle": handle})
	}
	return harness.JSONAnswer(http.StatusOK, map[string]any{"items": items})
}

func configuration(kind string) map[string]any {
	route := map[string]any{
		"name": "r-1", "hostname": host, "path_prefix": "/puxa400/", "kind": kind, "timeout_ms": 8000, "target_latency_ms": 1600,
		"priority": 0, "service": "logbook-llm", "max_attempts": 1, "public": false, "sticky": true, "resumable": false, "gap_aim_ms": 200,
		"stages": []any{map[string]any{"service": "scan-intake", "after_rev": []int{}, "bytes": 8000}},
	}
	return map[string]any{
		"version": 7, "routes": []any{route},
		"services": []any{
			map[string]any{
				"name": "logbook-llm", "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 64, "kv_capacity_tokens": 614608, "kv_token_bytes": 163840, "link_mbps": 260000.0, "moves": true, "backups": true,
					"stride": 5, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
				},
			},
			stageService("scan-intake"),
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "bozi300", "api_keys": []string{key}, "priority": 1}},
	}
}

func stageService(name string) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false,
		"pieces": map[string]any{
			"slots": 1, "queue": 2, "batch": 8, "call_ms": 150.0, "item_ms": 16.0, "headroom_mb": 39.0, "handle_s": 4.0, "link_mbps": 10000,
		},
	}
}

// run plays the case and returns its exit code.
func run(binary, recordPath string, trouble bool) (int, error) {
	record, err := harness.NewRecord(recordPath)
	if err != nil {
		return harness.ExitNotRun, err
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review-5-")
	if err != nil {
		return harness.ExitNotRun, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	store, err := harness.NewStore()
	if err != nil {
		return harness.ExitNotRun, err
	}
	defer store.Close()
	l := &ledger{record: record, stream: !trouble, pieces: make(map[string]int), results: make(map[string]string)}
	zones := []string{"hall-cj1", "hall-cj2", "hall-dej"}
	for i := range engines + makers {
		r := &harness.Runner{ID: fmt.Sprintf("i-%d", 10+i), Service: "logbook-llm", Zone: zones[i%len(zones)], Slots: 64, Handle: l.engine}
		if i >= engines {
			r.Service, r.Slots, r.Handle = "scan-intake", 1, l.stage
		}
		if err := r.Start(); err != nil {
			return harness.ExitNotRun, err
		}
		defer r.Close()
		store.Put("servers/"+r.ID, r.Entry("ready"))
	}
	kind := "idempotent"
	if !trouble {
		kind = "stream"
	}
	store.Put("op/config", configuration(kind))
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
	time.Sleep(2 * time.Second)
	sent, served := load(l, nodes)
	l.mu.Lock()
	defer l.mu.Unlock()
	record.Say("kind %s: %d requests, %d served; %d stage calls; %d arrivals at runners, %d without inputs", kind, sent, served, l.calls.Load(), l.runs, l.lacking)
	switch {
	case l.lacking > 0:
		return harness.ExitBroken, nil
	case served == 0:
		return harness.ExitNotRun, fmt.Errorf("no request was served")
	}
	return harness.ExitHeld, nil
}

// load sends requests and returns how many it sent and how many were served.
func load(l *ledger, nodes []*harness.Node) (sent int, served int64) {
	client := harness.NewClient()
	var ok atomic.Int64
	var all sync.WaitGroup
	ticker := time.NewTicker(time.Second / rate)
	defer ticker.Stop()
	for i := range int(loadTime.Seconds() * rate) {
		<-ticker.C
		node := nodes[rand.IntN(len(nodes))]
		pieces := 1 + rand.IntN(2)
		q := harness.Request{
			ID: harness.NewID(), Method: http.MethodPost, Host: host, Path: path, Key: key, Body: []byte(strings.Repeat("p", 2000)), Deadline: deadline,
			Header: http.Header{
				"Model": {"m"}, "Token-Usage": {"1460,50"}, "Prompt-Prefix": {fmt.Sprintf("5c1e07a2:800,%08x:660", i)},
				"Pieces": {strconv.Itoa(pieces)}, "Piece-Key": {harness.NewID()},
			},
		}
		l.mu.Lock()
		l.pieces[q.ID] = pieces
		l.mu.Unlock()
		sent++
		all.Go(func() {
			l.record.Line("request %s with %d pieces sent to %s", q.ID, pieces, node.Name)
			a := harness.Send(client, node.Front, q)
			l.record.Line("request %s answered: status %d, %d bytes, error %v", q.ID, a.Status, len(a.Body), a.Err)
			if a.Err == nil && a.Status == http.StatusOK {
				ok.Add(1)
			}
		})
	}
	all.Wait()
	return sent, ok.Load()
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
