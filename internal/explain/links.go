// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package explain

import (
	"fmt"
	"net/netip"
	"time"
)

// Messages of a host that loses its links to all backend servers, has some of them again, or
// forwards a request because of that. forwardMessage has the target's address for other hosts in the
// field forwardField.
const (
	linksLostMessage = "lost the links to all backend servers"
	linksBackMessage = "links to backend servers are back"
	forwardMessage   = "forwarded to another host"
	forwardField     = "host"
)

// linkOutcomes are the outcomes that a lack of links to backend servers can cause.
var linkOutcomes = map[string]bool{
	"left": true, "cut": true, "timeout": true, "crowded": true, "late": true, "overload": true, "deadline": true,
	"no_server": true, "unreachable": true, "server_failed": true, "connection": true,
}

// linkLoss is a time in which a host had no link to any backend server.
type linkLoss struct {
	line Line
	// lostAt is when the loss began, which a host finds out later. backAt is zero if no log
	// has its end.
	lostAt, backAt time.Time
}

// covers reports whether the loss and the time of a request overlap.
func (l linkLoss) covers(start, end time.Time) bool {
	return !l.lostAt.After(end) && (l.backAt.IsZero() || !l.backAt.Before(start))
}

// linkLosses returns the losses of a host in order of time.
func (g *Logs) linkLosses(host string) []linkLoss {
	var losses []linkLoss
	for _, l := range g.lines {
		switch {
		case l.Host != host:
		case l.Message == linksLostMessage:
			losses = append(losses, linkLoss{line: l, lostAt: lossStart(l)})
		case l.Message == linksBackMessage && len(losses) > 0 && losses[len(losses)-1].backAt.IsZero():
			losses[len(losses)-1].backAt = l.Time
		}
	}
	return losses
}

// lossStart returns when a loss began, which the line states in milliseconds before itself.
func lossStart(l Line) time.Time {
	before := l.durationField("since_ms")
	if before <= 0 || before > maxMilliseconds*time.Millisecond {
		return l.Time
	}
	return l.Time.Add(-before)
}

// linkLossOf returns the loss of links that explains how a request ended, if there is one.
func (g *Logs) linkLossOf(end Line) (linkLoss, bool) {
	if !linkOutcomes[end.textField("outcome")] {
		return linkLoss{}, false
	}
	start := end.Time.Add(-end.durationField("took_ms"))
	for _, loss := range g.linkLosses(end.Host) {
		if loss.covers(start, end.Time) {
			return loss, true
		}
	}
	return linkLoss{}, false
}

// String returns the loss as text.
func (l linkLoss) String() string {
	text := fmt.Sprintf("%s had no link to any backend server from %s", l.line.Host, l.lostAt.Format(timeLayout))
	if !l.backAt.IsZero() {
		text += " to " + l.backAt.Format(timeLayout)
	}
	if failing, servers := l.line.textField("failing"), l.line.textField("servers"); failing != "" && servers != "" {
		text += fmt.Sprintf("; %s of %s failed", failing, servers)
	}
	return text
}

// hasHostAt reports whether the log of a host with the IP address of another of its addresses was
// added, or the address is invalid.
func (g *Logs) hasHostAt(address string) bool {
	wanted, err := netip.ParseAddrPort(address)
	if err != nil {
		return true
	}
	for host := range g.hosts {
		if known, err := netip.ParseAddrPort(host); err == nil && known.Addr() == wanted.Addr() {
			return true
		}
	}
	return false
}
