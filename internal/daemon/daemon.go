// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package daemon runs one node as a process, with its settings, logs, metrics, sockets and
// signals.
package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"

	"github.com/wingvale/wingvale/internal/node"
	"github.com/wingvale/wingvale/internal/settings"
)

const (
	reportInterval = time.Second
	metricsPrefix  = "wingvale"
)

// NewLogger returns a logger configured by the settings.
func NewLogger(s settings.Settings, out io.Writer) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(out)
	log.SetLevel(s.LogLevel)
	if s.LogJSON {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	return log
}

// Run runs a node until SIGTERM or SIGINT has stopped it gracefully, or a second signal has
// stopped it at once.
func Run(s settings.Settings, out io.Writer) error {
	log := NewLogger(s, out)
	callers, err := listen(s.Caller)
	if err != nil {
		return err
	}
	peers, err := listen(s.Peer)
	if err != nil {
		return err
	}
	scope, metricsHandler, closer := NewMetrics()
	defer func() { _ = closer.Close() }()
	n := node.New(node.Options{
		Settings:       s,
		Log:            log,
		Scope:          scope,
		Dial:           (&net.Dialer{}).DialContext,
		CallerListener: callers,
		PeerListener:   peers,
		Metrics:        metricsHandler,
		Seed:           uint64(time.Now().UnixNano()),
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go awaitSignals(n, cancel, log)
	log.WithFields(logrus.Fields{"caller": s.Caller, "peer": s.Peer, "zone": s.Zone}).Info("listening")
	return n.Run(ctx)
}

// NewMetrics returns a metrics scope and the handler that serves it to a scraper. The closer must
// be closed.
func NewMetrics() (tally.Scope, http.Handler, io.Closer) {
	registry := prometheus.NewRegistry()
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{
		Registerer:       registry,
		Gatherer:         registry,
		DefaultTimerType: tallyprometheus.HistogramTimerType,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 metricsPrefix,
		CachedReporter:         reporter,
		Separator:              tallyprometheus.DefaultSeparator,
		SanitizeOptions:        &tallyprometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return scope, reporter.HTTPHandler(), closer
}

func listen(address netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("daemon: %w", err)
	}
	return l, nil
}

// awaitSignals stops the node gracefully on the first signal and at once on the second.
func awaitSignals(n *node.Node, cancel context.CancelFunc, log logrus.FieldLogger) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	for range 2 {
		select {
		case <-n.Done():
			return
		case s := <-signals:
			log.WithField("signal", s.String()).Info("stop signal received")
			if n.Leaving() {
				cancel()
				return
			}
			n.Stop()
		}
	}
}
