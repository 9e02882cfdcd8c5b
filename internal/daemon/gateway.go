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
	// logFlushTimeout limits the time to write the last log lines on exit.
	logFlushTimeout = 200 * time.Millisecond
)

// memoryShare is the share of the memory allowed for the process above which garbage is
// collected more often: the host kills a process that exceeds all of it. The rest is for
// stacks, connections and the program.
const memoryShare = 0.7

// limitMemory sets the memory limit of the runtime from the settings.
func limitMemory(s settings.Gateway) {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * s.MemoryMB * bytesPerMegabyte))
	}
}

const bytesPerMegabyte = 1 << 20

// RunGateway runs a node on the users' platform until SIGTERM or SIGINT has stopped it
// gracefully; SIGINT during that stops it at once. SIGHUP reloads the settings.
func RunGateway(path string, s settings.Gateway, out io.Writer) error {
	lines := logging.NewWriter(out, logging.DefaultMaxLines)
	defer flush(lines)
	log := logrus.New()
	log.SetOutput(lines)
	log.SetLevel(s.LogLevel)
	limitMemory(s)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "15:04:05.000"})
	scope, metricsHandler, closer := NewMetrics()
	defer func() { _ = closer.Close() }()
	dialer, listener := newDialer(), newListenConfig()
	p := platform.New(platform.Options{
		Settings: withResources(s),
		Log:      log.WithField("node", s.Callers.String()),
		Scope:    scope,
		Dial:     dialer.DialContext,
		Listen: func(a netip.AddrPort) (net.Listener, error) {
			return listener.Listen(context.Background(), "tcp", a.String())
		},
		Metrics:   metricsHandler,
		Seed:      rand.Uint64(),
		SinceBoot: boot.Clock,
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go awaitGatewaySignals(p, path, s, cancel, log)
	log.WithFields(logrus.Fields{"node": s.Callers, "peer": s.Peer, "zone": s.Zone, "seeds": s.Seeds}).Info("started")
	err := p.Run(ctx)
	log.WithError(err).Info("stopped")
	return err
}

// flush writes the last log lines, waiting at most logFlushTimeout for a slow reader.
func flush(lines *logging.Writer) {
	lines.Close()
	select {
	case <-lines.Done():
	case <-time.After(logFlushTimeout):
	}
}

// settingsInterval is how often the settings file is checked: it may change without a signal.
const settingsInterval = 2 * time.Second

// awaitGatewaySignals handles signals and changed settings until the process ends.
func awaitGatewaySignals(p *platform.Process, path string, s settings.Gateway, cancel context.CancelFunc, log *logrus.Logger) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	lastModTime := modTime(path)
	stopping := false
	for {
		select {
		case <-p.Done():
			return
		case <-ticker.C:
			if newModTime := modTime(path); !newModTime.Equal(lastModTime) {
				lastModTime = newModTime
				s = reload(p, path, s, log)
			}
		case received := <-signals:
			log.WithField("signal", received.String()).Info("signal received")
			if received == syscall.SIGHUP {
				lastModTime = modTime(path)
				s = reload(p, path, s, log)
				continue
			}
			if forcesStop(received, stopping) {
				cancel()
				return
			}
			stopping = true
			p.Stop()
		}
	}
}

// forcesStop reports whether a signal stops a stopping process at once. SIGTERM may be
// repeated and must not cut off what the graceful stop finishes: a platform that does not wait
// uses SIGKILL.
func forcesStop(received os.Signal, stopping bool) bool {
	return stopping && received == syscall.SIGINT
}

// modTime returns the modification time of a file, or the zero time if it is unknown.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reloads the settings and returns those in force. If the file is invalid, the previous
// settings stay in force. The log says whether a changed setting needs a restart.
func reload(p *platform.Process, path string, old settings.Gateway, log *logrus.Logger) settings.Gateway {
	s, err := settings.LoadGateway(path)
	if err != nil {
		log.WithError(err).Warn("settings rejected; the previous ones stay in force")
		return old
	}
	log.SetLevel(s.LogLevel)
	p.Reload(s)
	log.WithField("restart_needed", s.NeedsRestart(old)).Info("settings reloaded")
	return s
}
