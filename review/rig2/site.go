// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

//go:build review

package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	hostName = "pule25.example"
	key      = "9dnn2ctnfzs989anu6ws"
	tenant   = "bozi300"
)

func must(err error) {
	if err != nil {
		panic(cannotRun{err})
	}
}

// cannotRun is a panic that means that the case could not run.
type cannotRun struct{ err error }

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The record is for people; a case doesn't depend on it.
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// node is one process of the project.
type node struct {
	name    string
	command *exec.Cmd
	exited  chan struct{}
	// callers, entries, health, peer and metrics are its addresses.
	callers, entries, health, peer, metrics string
	settings, log                           string
	zone                                    string
	// gate is its way to the store.
	gate *gate
}

// gate is the way of one node to the store. While it is cut, nothing comes through in either direction.
type gate struct {
	store *store

	mu sync.Mutex
	// healed is closed when the gate is open again; nil while it is open.
	healed chan struct{}
}

func (g *gate) cut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.healed = make(chan struct{})
}

func (g *gate) heal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.healed)
	g.healed = nil
}

// await waits while the gate is cut. It reports false if the caller has left.
func (g *gate) await(ctx context.Context) bool {
	for {
		g.mu.Lock()
		healed := g.healed
		g.mu.Unlock()
		if healed == nil {
			return ctx.Err() == nil
		}
		select {
		case <-healed:
		case <-ctx.Done():
			return false
		}
	}
}

// ServeHTTP answers a call to the store. Calls that were under way when the gate was cut are answered after it has healed.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !g.await(r.Context()) {
		return
	}
	answer := httptest.NewRecorder()
	g.store.ServeHTTP(answer, r)
	if !g.await(r.Context()) {
		return
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// site is a small deployment on loopback addresses.
type site struct {
	*record
	dir    string
	store  *store
	nodes  []*node
	listen []net.Listener
	binary string
}

// freePort returns a loopback address that nothing listens on.
func freePort() string {
	// The ports that the system gives to outgoing connections begin above.
	for range 1000 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 20000+rand.IntN(12000)))
		if err == nil {
			_ = l.Close()
			return l.Addr().String()
		}
	}
	panic(cannotRun{errors.New("no free port")})
}

// newSite returns a site without nodes.
func newSite(r *record, binary string) *site {
	dir, err := os.MkdirTemp("", "review")
	must(err)
	return &site{record: r, dir: dir, store: newStore(), binary: binary}
}

// serve serves a handler on a new loopback address until the end of the case.
func (s *site) serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s.listen = append(s.listen, l)
	go func() { _ = (&http.Server{Handler: h, IdleTimeout: time.Minute}).Serve(l) }()
	return l.Addr().String()
}

// addServer lists a backend server.
func (s *site) addServer(id, service, address, zone string, slots int) {
	s.store.put("servers/"+id, map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": "ready", "cold_left_ms": 0, "seq": 1,
	})
}

// start starts nodes, one in each of the zones, with the settings that deploy/settings.ini gives.
func (s *site) start(zones ...string) {
	var seeds, regions []string
	for i, zone := range zones {
		n := &node{name: fmt.Sprintf("node-%d", i+1), zone: zone, callers: freePort(), entries: freePort(), health: freePort(), peer: freePort(), metrics: freePort()}
		s.nodes = append(s.nodes, n)
		seeds = append(seeds, n.peer)
		if text := zone + "=qld-south"; !strings.Contains(strings.Join(regions, ","), text) {
			regions = append(regions, text)
		}
	}
	for _, n := range s.nodes {
		n.gate = &gate{store: s.store}
		address := s.serve(n.gate)
		n.settings = filepath.Join(s.dir, n.name+".ini")
		n.log = filepath.Join(s.dir, n.name+".log")
		text := fmt.Sprintf(`[node]
callers = %s
entries = %s
health = %s
peer = %s
metrics = %s
zone = %s
regions = %s
link-mbps = 1000.0
cores = 0.4
memory-mb = 284
open-files = 4100
seeds = %s

[publisher]
address = %s
history = 20s

[stop]
grace = 8s

[retries]
share = 0.2
reserve = 52
window = 10s
`, n.callers, n.entries, n.health, n.peer, n.metrics, n.zone, strings.Join(regions, ","), strings.Join(seeds, ","), address)
		must(os.WriteFile(n.settings, []byte(text), 0o600))
		s.startNode(n)
	}
}

func (s *site) startNode(n *node) {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	n.command = exec.Command(s.binary, "platform")
	n.command.Env = append(os.Environ(), "WINGVALE_SETTINGS="+n.settings)
	n.command.Stdout, n.command.Stderr = log, log
	// The process ends with the case, however that ends.
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(n.command.Start())
	exited := make(chan struct{})
	n.exited = exited
	command := n.command
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	s.line("%s starts: pid %d, callers at %s", n.name, n.command.Process.Pid, n.callers)
}

// running reports whether the process of a node has not ended.
func (n *node) running() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// awaitReady waits until all nodes are ready.
func (s *site) awaitReady() {
	end := time.Now().Add(15 * time.Second)
	for _, n := range s.nodes {
		for !n.ready() {
			if time.Now().After(end) {
				panic(cannotRun{fmt.Errorf("%s is not ready", n.name)})
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.line("all nodes are ready")
}

func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + n.health + "/wingvale/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends all processes of the case, and copies the end of their logs to a folder if one is named.
func (s *site) close(keep string) {
	for _, n := range s.nodes {
		if n.command == nil || n.command.Process == nil || n.exited == nil {
			continue
		}
		if n.running() {
			_ = n.command.Process.Signal(syscall.SIGCONT)
			_ = n.command.Process.Kill()
			<-n.exited
		}
	}
	for _, l := range s.listen {
		_ = l.Close()
	}
	if keep != "" {
		_ = os.CopyFS(keep, os.DirFS(s.dir))
	}
	_ = os.RemoveAll(s.dir)
}

// request is a request of a caller.
type request struct {
	node     *node
	id       string
	method   string
	path     string
	headers  []string
	body     string
	deadline time.Duration
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	// whole reports whether the answer was complete as HTTP.
	whole bool
	err   error
}

// send sends a request on a new connection and reads the answer, until its time limit.
func (s *site) send(ctx context.Context, r request) answer {
	d := net.Dialer{Timeout: time.Second}
	c, err := d.DialContext(ctx, "tcp", r.node.callers)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	return s.exchange(c, bufio.NewReader(c), r)
}

// exchange sends a request on a connection and reads the answer.
func (s *site) exchange(c net.Conn, reader *bufio.Reader, r request) answer {
	_ = c.SetDeadline(time.Now().Add(r.deadline))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", r.method, r.path, hostName, r.id, r.deadline.Milliseconds(), key)
	for _, h := range r.headers {
		text += h + "\r\n"
	}
	if r.method != http.MethodGet {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	if _, err := io.WriteString(c, text+"\r\n"+r.body); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(reader, &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), whole: err == nil, err: err}
}
