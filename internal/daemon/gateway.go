// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wingvale/wingvale/internal/boot"
	"github.com/wingvale/wingvale/internal/logging"
	"github.com/wingvale/wingvale/internal/settings"
	"github.com/wingvale/wingvale/platform"
)

const (
	// silentFor is how long sent bytes may stay unacknowledged before their
	// connection is given up; the networks have round trips of milliseconds.
	silentFor = 2 * time.Second
	// logFor is how long the last log lines may take at the end.
	logFor = 200 * time.Millisecond
	// keepAliveProbes unanswered end a connection.
	keepAliveProbes = 2
)

// memoryShare of what a process may use is where garbage is collected more often: beyond all
// of it the host ends the process. The rest is for stacks, connections and the program.
const memoryShare = 0.7

// limitMemory makes the runtime keep to what the settings allow.
func limitMemory(s settings.Gateway) {
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryShare * s.Memory * bytesPerMegabyte))
	}
}

const bytesPerMegabyte = 1 << 20

// RunGateway runs a node on the users' platform until SIGTERM or SIGINT has
// stopped it as planned, or SIGINT during that at once. SIGHUP makes it read its
// settings again.
func RunGateway(path string, s settings.Gateway, out io.Writer) error {
	lines := logging.NewWriter(out, logging.DefaultLines)
	defer flush(lines)
	log := logrus.New()
	log.SetOutput(lines)
	log.SetLevel(s.LogLevel)
	limitMemory(s)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "15:04:05.000"})
	scope, scraped, closer := Metrics()
	defer func() { _ = closer.Close() }()
	dialer := &net.Dialer{
		Control:         setSilence,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: keepAliveProbes},
	}
	listener := &net.ListenConfig{
		Control:         setSilence,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: keepAliveProbes},
	}
	p := platform.New(platform.Options{
		Settings: s,
		Log:      log.WithField("node", s.Callers.String()),
		Scope:    scope,
		Dial:     dialer.DialContext,
		Listen: func(a netip.AddrPort) (net.Listener, error) {
			return listener.Listen(context.Background(), "tcp", a.String())
		},
		Metrics: scraped,
		Seed:    rand.Uint64(),
		Boot:    boot.Clock,
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go awaitGateway(p, path, s, cancel, log)
	log.WithFields(logrus.Fields{"node": s.Callers, "peer": s.Peer, "zone": s.Zone, "seeds": s.Seeds}).Info("started")
	err := p.Run(ctx)
	log.WithError(err).Info("stopped")
	return err
}

// flush writes the last log lines, for as long as somebody reads.
func flush(lines *logging.Writer) {
	lines.Close()
	select {
	case <-lines.Done():
	case <-time.After(logFor):
	}
}

// setSilence bounds how long a connection waits for a peer that is silent.
func setSilence(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		const tcpUserTimeout = 0x12
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silentFor.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// settingsEvery is how often the settings file is looked at: it may change
// without a signal.
const settingsEvery = 2 * time.Second

// awaitGateway acts on signals and changed settings until the process ends.
func awaitGateway(p *platform.Process, path string, s settings.Gateway, cancel context.CancelFunc, log *logrus.Logger) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	changed := modified(path)
	stopping := false
	for {
		select {
		case <-p.Done():
			return
		case <-ticker.C:
			if at := modified(path); !at.Equal(changed) {
				changed = at
				s = reload(p, path, s, log)
			}
		case received := <-signals:
			log.WithField("signal", received.String()).Info("signal")
			if received == syscall.SIGHUP {
				changed = modified(path)
				s = reload(p, path, s, log)
				continue
			}
			if endsAtOnce(received, stopping) {
				cancel()
				return
			}
			stopping = true
			p.Stop()
		}
	}
}

// endsAtOnce reports whether a signal ends a process that is stopping. SIGTERM may
// come again, and must not cut off what the planned stop finishes: the platform
// kills where it does not wait.
func endsAtOnce(received os.Signal, stopping bool) bool {
	return stopping && received == syscall.SIGINT
}

// modified returns when the file last changed, the zero time where that cannot
// be told.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the settings again and returns those in force. A file that is
// wrong leaves the old ones in force; what cannot change while the process runs
// is logged.
func reload(p *platform.Process, path string, old settings.Gateway, log *logrus.Logger) settings.Gateway {
	s, err := settings.LoadGateway(path)
	if err != nil {
		log.WithError(err).Warn("settings not taken; the old ones stay in force")
		return old
	}
	log.SetLevel(s.LogLevel)
	p.Reload(s)
	log.WithField("restart_needed", s.NeedsRestart(old)).Info("settings read again")
	return s
}
