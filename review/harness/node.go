// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

//go:build review

package harness

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Node is one process of the system under review.
type Node struct {
	Name                                   string
	Front, Entries, Health, Peer, Metrics  netip.AddrPort
	Zone                                   string
	settingsPath, logPath, binary, workDir string
	command                                *exec.Cmd
	exited                                 chan struct{}
}

// Ports of nodes are below those that the system gives to outgoing connections.
const (
	minPort  = 18000
	maxPort  = 32000
	maxTries = 100
)

// FreeAddress returns an address of the loopback interface that nothing listens at.
func FreeAddress() (netip.AddrPort, error) {
	var err error
	for range maxTries {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(minPort+rand.IntN(maxPort-minPort)))
		var l net.Listener
		if l, err = net.Listen("tcp", address.String()); err == nil {
			return address, l.Close()
		}
	}
	return netip.AddrPort{}, err
}

// NewNodes returns nodes, not started, with the settings that the platform would write from the
// template of the deploy file, with the figures of DEPLOY.md.
func NewNodes(binary, dir string, store netip.AddrPort, zones ...string) ([]*Node, error) {
	var nodes []*Node
	for i, zone := range zones {
		n := &Node{Name: fmt.Sprintf("front-%d", i+1), Zone: zone, binary: binary, workDir: dir}
		for _, a := range []*netip.AddrPort{&n.Front, &n.Entries, &n.Health, &n.Peer, &n.Metrics} {
			free, err := FreeAddress()
			if err != nil {
				return nil, err
			}
			*a = free
		}
		nodes = append(nodes, n)
	}
	var seeds []string
	for _, n := range nodes {
		seeds = append(seeds, n.Peer.String())
	}
	for _, n := range nodes {
		n.settingsPath = filepath.Join(dir, n.Name+".ini")
		n.logPath = filepath.Join(dir, n.Name+".log")
		text := fmt.Sprintf(`[node]
callers = %s
entries = %s
health = %s
peer = %s
metrics = %s
zone = %s
regions = hall-cj1=ro-centru,hall-cj2=ro-centru,hall-dej=ro-centru
link-mbps = 1000.0
cores = 0.4
memory-mb = 284
seeds = %s

[publisher]
address = %s

[stop]
grace = 8s

[retries]
share = 0.2
reserve = 58
window = 10s

[cold]
`, n.Front, n.Entries, n.Health, n.Peer, n.Metrics, n.Zone, strings.Join(seeds, ","), store)
		if err := os.WriteFile(n.settingsPath, []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	return nodes, nil
}

// Start starts the process with the command of the deploy file.
func (n *Node) Start() error {
	log, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.command = exec.Command(n.binary, "platform")
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WINGVALE_SETTINGS=" + n.settingsPath}
	n.command.Stdout, n.command.Stderr = log, log
	if err := n.command.Start(); err != nil {
		_ = log.Close()
		return err
	}
	if err := recordPID(n.command.Process.Pid); err != nil {
		_ = n.command.Process.Kill()
		return err
	}
	n.exited = make(chan struct{})
	exited := n.exited
	command := n.command
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// pidsEnv is the environment variable that holds the path of a file to which the process id of each daemon is
// added, for run.sh to end those that a case has left.
const pidsEnv = "REVIEW_PIDS"

func recordPID(pid int) error {
	path := os.Getenv(pidsEnv)
	if path == "" {
		return nil
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	_, err = fmt.Fprintln(file, pid)
	return err
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) error { return n.command.Process.Signal(s) }

// Exited returns a channel that is closed when the process has ended.
func (n *Node) Exited() <-chan struct{} { return n.exited }

// Kill kills the process and waits for its end.
func (n *Node) Kill() {
	if n.command == nil {
		return
	}
	_ = n.command.Process.Kill()
	<-n.exited
}

// Log returns what the process has written.
func (n *Node) Log() string {
	data, _ := os.ReadFile(n.logPath)
	return string(data)
}

// AwaitReady waits until the node says that it is ready.
func (n *Node) AwaitReady(timeout time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + n.Health.String() + "/wingvale/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", n.Name, timeout)
}
