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

// Gateway are the settings of a node that relays opaque requests.
type Gateway struct {
	// Callers is where callers send requests; it names the node.
	Callers netip.AddrPort
	// Entries is where callers ask for addresses, Health where it is asked
	// whether the node is ready, Peer where the other nodes reach it, Metrics
	// where metrics and the dump are read.
	Entries netip.AddrPort
	Health  netip.AddrPort
	Peer    netip.AddrPort
	Metrics netip.AddrPort
	// Zone is the node's availability zone.
	Zone string
	// Regions has the region of each zone that is known.
	Regions map[string]string
	// Link is the host's bandwidth in Mbit/s and Cores its share of processors;
	// 0 is not told.
	Link  float64
	Cores float64
	// Memory is how many MB the process may use; 0 is not told.
	Memory float64
	// Seeds are peer addresses to try first; they may be stale.
	Seeds []netip.AddrPort
	// Publisher is where configuration and backend servers are read.
	Publisher netip.AddrPort
	// ReadyAfter is how long a starting node waits for both the publisher and
	// a peer before one of them is enough.
	ReadyAfter time.Duration
	// Hold is how long callers may keep an answer with addresses.
	Hold time.Duration
	// Grace is how long a planned stop may take.
	Grace time.Duration
	// RetryShare and RetryReserve bound the retries of all nodes together, as
	// a share of requests and a number, in any RetryWindow.
	RetryShare   float64
	RetryReserve float64
	RetryWindow  time.Duration
	// ColdOver times what a cold backend server bears a second, and ColdSlack, are
	// the most requests that all nodes together may send it in any second.
	ColdOver  float64
	ColdSlack float64
	// LogLevel says what is logged.
	LogLevel logrus.Level
	// ClockOffset is added to the time of day. It is in no file: tests set it.
	ClockOffset time.Duration
}

// DefaultGateway returns settings without addresses.
func DefaultGateway() Gateway {
	return Gateway{
		ReadyAfter:   2 * time.Second,
		Hold:         2 * time.Second,
		Grace:        8 * time.Second,
		RetryShare:   0.1,
		RetryReserve: 10,
		RetryWindow:  10 * time.Second,
		ColdOver:     1,
		LogLevel:     logrus.InfoLevel,
	}
}

// LoadGateway reads and checks the file at path. The error joins one error for
// each thing that is wrong.
func LoadGateway(path string) (Gateway, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, SpaceBeforeInlineComment: true}, path)
	if err != nil {
		return Gateway{}, fmt.Errorf("settings: %s: %w", path, err)
	}
	g := DefaultGateway()
	r := newReader(path, file, g.keys())
	return g, r.read(func() error { return nil })
}

// NeedsRestart reports whether g differs from old in what a running node cannot
// change.
func (g Gateway) NeedsRestart(old Gateway) bool {
	g.ClockOffset = old.ClockOffset
	g.LogLevel, g.RetryShare, g.RetryReserve, g.RetryWindow = old.LogLevel, old.RetryShare, old.RetryReserve, old.RetryWindow
	return !reflect.DeepEqual(g, old)
}

func (g *Gateway) keys() []key {
	const longest = time.Hour
	return []key{
		{section: "node", name: "callers", required: true, set: address(&g.Callers)},
		{section: "node", name: "entries", required: true, set: address(&g.Entries)},
		{section: "node", name: "health", required: true, set: address(&g.Health)},
		{section: "node", name: "peer", required: true, set: address(&g.Peer)},
		{section: "node", name: "metrics", required: true, set: address(&g.Metrics)},
		{section: "node", name: "zone", required: true, set: name(&g.Zone)},
		{section: "node", name: "regions", set: pairs(&g.Regions)},
		{section: "node", name: "link-mbps", set: amount(&g.Link)},
		{section: "node", name: "cores", set: amount(&g.Cores)},
		{section: "node", name: "memory-mb", set: amount(&g.Memory)},
		{section: "node", name: "seeds", set: addresses(&g.Seeds)},
		{section: "publisher", name: "address", required: true, set: address(&g.Publisher)},
		{section: "publisher", name: "ready-after", set: duration(&g.ReadyAfter, 0, longest)},
		{section: "callers", name: "hold", set: duration(&g.Hold, time.Second, longest)},
		{section: "stop", name: "grace", set: duration(&g.Grace, time.Second, longest)},
		{section: "retries", name: "share", set: fraction(&g.RetryShare)},
		{section: "retries", name: "reserve", set: amount(&g.RetryReserve)},
		{section: "retries", name: "window", set: duration(&g.RetryWindow, time.Second, longest)},
		{section: "cold", name: "over", set: amount(&g.ColdOver)},
		{section: "cold", name: "slack", set: amount(&g.ColdSlack)},
		{section: "log", name: "level", set: level(&g.LogLevel)},
	}
}

// pairs reads NAME=VALUE, by commas.
func pairs(target *map[string]string) func(string) error {
	return func(text string) error {
		read := make(map[string]string)
		if text == "" {
			return nil
		}
		for part := range strings.SplitSeq(text, ",") {
			name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
			if !ok || name == "" || value == "" {
				return fmt.Errorf("want NAME=VALUE by commas, not %q", part)
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
