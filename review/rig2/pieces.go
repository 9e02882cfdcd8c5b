// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["pieces"] = pieces }

const (
	// memoryMB is the memory of a machine: the platform kills a process over it.
	memoryMB = 284
	// largePieces is the number of pieces that one caller asks for, and usualPieces what others do.
	largePieces, usualPieces = 20_000_000, 3
	// pieceRequests is how many such requests the caller sends to each machine.
	pieceRequests = 3
)

// stageServer is a stand-in of a runner of stages, which makes each piece in a few ms.
type stageServer struct {
	id, address string
	made        atomic.Int64
}

// ServeHTTP makes pieces, and takes back results.
func (g *stageServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != g.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path != "/wingvale/stage-run" {
		return
	}
	var call struct {
		Items []json.RawMessage `json:"items"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(20 * time.Millisecond)
	items := make([]map[string]string, 0, len(call.Items))
	for range call.Items {
		items = append(items, map[string]string{"handle": fmt.Sprintf("%s/%x", g.address, g.made.Add(1))})
	}
	reply(w, map[string]any{"items": items})
}

// usedMB returns the memory that a process occupies, in MB.
func (n *node) usedMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")))
			return kb >> 10
		}
	}
	return 0
}

// pieces: a caller with a valid key asks for very many pieces.
func pieces(s *site, trouble bool) bool {
	for i := range 2 {
		newEngine(s, fmt.Sprintf("i-%d", i+1), "brisbane-hall")
		g := &stageServer{id: fmt.Sprintf("g-%d", i+1)}
		g.address = s.serve(g)
		s.addServer(g.id, "stage", g.address, "brisbane-hall", 1)
	}
	config := streamConfig()
	route, _ := config["routes"].([]any)[0].(map[string]any)
	route["stages"] = []any{map[string]any{"service": "stage", "after_rev": []int{}, "bytes": 8000}}
	services, _ := config["services"].([]any)
	config["services"] = append(services, map[string]any{
		"name": "stage", "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": false,
		"pieces": map[string]any{"slots": 1, "queue": 2, "batch": 8, "call_ms": 20.0, "item_ms": 1.0, "headroom_mb": 18.0, "handle_s": 4.0, "link_mbps": 10000},
	})
	s.store.put("op/config", config)
	s.start("brisbane-hall", "ipswich-hall", "goldcoast-hall")
	s.awaitReady()
	time.Sleep(time.Second)
	s.mustServe()
	var mu sync.Mutex
	kills, most := make(map[*node]int), make(map[*node]int)
	stop := make(chan struct{})
	var platform sync.WaitGroup
	for _, n := range s.nodes {
		platform.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				used := n.usedMB()
				mu.Lock()
				most[n] = max(most[n], used)
				mu.Unlock()
				if used <= memoryMB {
					continue
				}
				s.line("%s occupies %d MB of %d: the platform kills and starts it", n.name, used, memoryMB)
				_ = n.command.Process.Signal(syscall.SIGKILL)
				<-n.exited
				mu.Lock()
				kills[n]++
				mu.Unlock()
				s.startNode(n)
			}
		})
	}
	count := usualPieces
	if trouble {
		count = largePieces
	}
	for i := range pieceRequests * len(s.nodes) {
		n := s.nodes[i%len(s.nodes)]
		r := streamRequest(n, fmt.Sprintf("%016x", 0xf000+i))
		r.headers = append(r.headers, fmt.Sprintf("Pieces: %d", count), "Piece-Key: 7c1e07a291bd")
		s.line("caller sends %s with Pieces: %d to %s", r.id, count, n.name)
		a := s.send(context.Background(), r)
		s.line("caller gets %s: status %d, whole %t, %d events, error %v", r.id, a.status, a.whole, len(events(a.body)), a.err)
		time.Sleep(time.Second)
		s.awaitReady()
	}
	close(stop)
	platform.Wait()
	often := 0
	for _, n := range s.nodes {
		s.line("%s was killed %d times, the most memory it had was %d MB", n.name, kills[n], most[n])
		if kills[n] >= 3 {
			often++
		}
	}
	return often >= 2
}
