// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package settings

import (
	"fmt"
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"gopkg.in/ini.v1"
)

// Gateway has the settings of a node that relays opaque requests.
type Gateway struct {
	// Callers is the address for requests of callers; it identifies the node.
	Callers netip.AddrPort
	// Entries is the address where callers ask for addresses, Health that of the readiness
	// check, Peer that for other nodes, and Metrics that of the metrics and the dump.
	Entries netip.AddrPort
	Health  netip.AddrPort
	Peer    netip.AddrPort
	Metrics netip.AddrPort
	// Zone is the node's availability zone.
	Zone string
	// Regions maps availability zones to their regions.
	Regions map[string]string
	// LinkMbps is the host's bandwidth in Mbit/s and Cores the number of cores available to the
	// process; 0 means unknown.
	LinkMbps float64
	Cores    float64
	// MemoryMB is the memory that the process may use, in MB; 0 means unknown.
	MemoryMB float64
	// OpenFiles is how many descriptors the process may have open; 0 means unknown.
	OpenFiles int
	// ClientMemoryMB is the memory for the requests of callers until they have been served, in MB; 0 means a share
	// of MemoryMB.
	ClientMemoryMB float64
	// Seeds are the peer addresses to contact first; they may be stale.
	Seeds []netip.AddrPort
	// Publisher is the address from which the configuration and the backend servers are read.
	Publisher netip.AddrPort
	// PublisherHistory is for how long the publisher keeps the history of changes, unless it has to discard it
	// early; 0 means unknown.
	PublisherHistory time.Duration
	// ReadyAfter is how long a starting node waits for both the publisher and a peer before
	// one of them is enough.
	ReadyAfter time.Duration
	// AnswerTTL is how long callers may cache an answer with addresses.
	AnswerTTL time.Duration
	// StopTimeout is how long a graceful stop may take.
	StopTimeout time.Duration
	// RetryShare and RetryReserve limit the retries of all nodes together in any RetryWindow,
	// as a share of the requests plus a fixed number.
	RetryShare   float64
	RetryReserve float64
	RetryWindow  time.Duration
	// ColdFactor and ColdSlack limit the requests that all nodes together may send to a cold
	// backend server in any second: ColdFactor times the rate that it can handle, plus
	// ColdSlack.
	ColdFactor float64
	ColdSlack  float64
	// LoadAware says whether decisions use the load model of engines and pools.
	LoadAware Toggle
	// LeaveOut says whether hosts that reach no backend server are left out of the answers to callers
	// and of the owners of pools, HandOver whether they hand their requests over to other hosts. Both
	// are on with ToggleAuto.
	LeaveOut Toggle
	HandOver Toggle
	// LogLevel is the level of the log.
	LogLevel logrus.Level
	// ClockOffset is added to the wall clock. It has no key in the file: tests set it.
	ClockOffset time.Duration
}

// DefaultGateway returns the default settings, without addresses.
func DefaultGateway() Gateway {
	return Gateway{
		ReadyAfter:   2 * time.Second,
		AnswerTTL:    2 * time.Second,
		StopTimeout:  8 * time.Second,
		RetryShare:   0.1,
		RetryReserve: 10,
		RetryWindow:  10 * time.Second,
		ColdFactor:   1,
		LoadAware:    ToggleAuto,
		LeaveOut:     ToggleAuto,
		HandOver:     ToggleAuto,
		LogLevel:     logrus.InfoLevel,
	}
}

// LoadGateway reads and checks the file at path. The error joins one error for each invalid
// setting.
func LoadGateway(path string) (Gateway, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, SpaceBeforeInlineComment: true}, path)
	if err != nil {
		return Gateway{}, fmt.Errorf("settings: %s: %w", path, err)
	}
	g := DefaultGateway()
	r := newReader(path, file, g.keys())
	return g, r.read(func() error { return nil })
}

// NeedsRestart reports whether g differs from old in a setting that cannot change at run time.
func (g Gateway) NeedsRestart(old Gateway) bool {
	g.ClockOffset = old.ClockOffset
	g.LogLevel, g.RetryShare, g.RetryReserve, g.RetryWindow = old.LogLevel, old.RetryShare, old.RetryReserve, old.RetryWindow
	return !reflect.DeepEqual(g, old)
}

func (g *Gateway) keys() []key {
	const (
		maxDuration  = time.Hour
		maxOpenFiles = 1 << 24
	)
	return []key{
		{section: "node", name: "callers", required: true, set: address(&g.Callers)},
		{section: "node", name: "entries", required: true, set: address(&g.Entries)},
		{section: "node", name: "health", required: true, set: address(&g.Health)},
		{section: "node", name: "peer", required: true, set: address(&g.Peer)},
		{section: "node", name: "metrics", required: true, set: address(&g.Metrics)},
		{section: "node", name: "zone", required: true, set: name(&g.Zone)},
		{section: "node", name: "regions", set: pairs(&g.Regions)},
		{section: "node", name: "link-mbps", set: amount(&g.LinkMbps)},
		{section: "node", name: "cores", set: amount(&g.Cores)},
		{section: "node", name: "memory-mb", set: amount(&g.MemoryMB)},
		{section: "node", name: "open-files", set: number(&g.OpenFiles, 0, maxOpenFiles)},
		{section: "node", name: "seeds", set: addresses(&g.Seeds)},
		{section: "publisher", name: "address", required: true, set: address(&g.Publisher)},
		{section: "publisher", name: "history", set: duration(&g.PublisherHistory, 0, maxDuration)},
		{section: "publisher", name: "ready-after", set: duration(&g.ReadyAfter, 0, maxDuration)},
		{section: "callers", name: "memory-mb", set: amount(&g.ClientMemoryMB)},
		{section: "callers", name: "hold", set: duration(&g.AnswerTTL, time.Second, maxDuration)},
		{section: "stop", name: "grace", set: duration(&g.StopTimeout, time.Second, maxDuration)},
		{section: "retries", name: "share", set: fraction(&g.RetryShare)},
		{section: "retries", name: "reserve", set: amount(&g.RetryReserve)},
		{section: "retries", name: "window", set: duration(&g.RetryWindow, time.Second, maxDuration)},
		{section: "cold", name: "over", set: amount(&g.ColdFactor)},
		{section: "cold", name: "slack", set: amount(&g.ColdSlack)},
		{section: "scheduling", name: "load-aware", set: toggle(&g.LoadAware)},
		{section: "isolation", name: "leave-out", set: toggle(&g.LeaveOut)},
		{section: "isolation", name: "hand-over", set: toggle(&g.HandOver)},
		{section: "log", name: "level", set: level(&g.LogLevel)},
	}
}

// pairs parses a comma-separated list of NAME=VALUE.
func pairs(target *map[string]string) func(string) error {
	return func(text string) error {
		read := make(map[string]string)
		if text == "" {
			return nil
		}
		for part := range strings.SplitSeq(text, ",") {
			name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
			if !ok || name == "" || value == "" {
				return fmt.Errorf("want a comma-separated list of NAME=VALUE, got %q", part)
			}
			read[name] = value
		}
		*target = read
		return nil
	}
}

func fraction(target *float64) func(string) error {
	return func(text string) error {
		f, err := strconv.ParseFloat(text, 64)
		if err != nil || !(f >= 0 && f <= 1) {
			return fmt.Errorf("want a number from 0 to 1")
		}
		*target = f
		return nil
	}
}

func amount(target *float64) func(string) error {
	return func(text string) error {
		f, err := strconv.ParseFloat(text, 64)
		if err != nil || !(f >= 0 && f <= 1e9) {
			return fmt.Errorf("want a number of at least 0")
		}
		*target = f
		return nil
	}
}
