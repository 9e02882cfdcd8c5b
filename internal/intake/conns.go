// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package intake

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// ConnsOptions are the options of Conns. All are required.
type ConnsOptions struct {
	// Listener names the listener in metrics and logs.
	Listener string
	// Max is the largest number of open connections.
	Max   int
	Log   logrus.FieldLogger
	Scope tally.Scope
}

// Conns bounds the open connections of an HTTP server. At the bound, the connection that has waited longest for a
// request is closed for a new one, or the new one if all have a request. It is safe for concurrent use.
type Conns struct {
	options ConnsOptions
	// gauge has the number of open connections, and refusals counts those that were closed at the bound.
	gauge    tally.Gauge
	refusals tally.Counter

	mu sync.Mutex
	// open has all connections. Those without a request have an element in waiting, which has them by the time
	// since when, the longest first; others have nil.
	open       map[net.Conn]*list.Element
	waiting    *list.List
	closed     int
	reportedAt time.Time
}

// NewConns returns Conns without any connection.
func NewConns(o ConnsOptions) *Conns {
	gauge := o.Scope.Tagged(map[string]string{"listener": o.Listener}).Gauge("client_connections")
	return &Conns{options: o, gauge: gauge, refusals: refusalCounter(o.Scope, "connections"), open: make(map[net.Conn]*list.Element), waiting: list.New()}
}

// Track is the ConnState hook of the server.
func (c *Conns) Track(conn net.Conn, state http.ConnState) {
	if excess := c.track(conn, state); excess != nil {
		// The server notices it by a failed read.
		_ = excess.Close()
	}
}

// track records the state of a connection, and returns the one to close, if any.
func (c *Conns) track(conn net.Conn, state http.ConnState) (excess net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	element, known := c.open[conn]
	if element != nil {
		c.waiting.Remove(element)
	}
	switch {
	case state == http.StateNew:
		if len(c.open) >= c.options.Max {
			excess = c.makeRoom(conn)
		}
		if excess != conn {
			c.open[conn] = c.waiting.PushBack(conn)
		}
	case !known:
		// It is being closed.
	case state == http.StateIdle:
		c.open[conn] = c.waiting.PushBack(conn)
	case state == http.StateActive:
		c.open[conn] = nil
	default:
		delete(c.open, conn)
	}
	c.gauge.Update(float64(len(c.open)))
	return excess
}

// makeRoom returns the connection to close for a new one.
func (c *Conns) makeRoom(conn net.Conn) net.Conn {
	excess := conn
	if oldest := c.waiting.Front(); oldest != nil {
		excess, _ = c.waiting.Remove(oldest).(net.Conn)
		delete(c.open, excess)
	}
	c.refusals.Inc(1)
	c.closed++
	if now := time.Now(); now.Sub(c.reportedAt) >= reportInterval {
		c.options.Log.WithFields(logrus.Fields{
			"listener": c.options.Listener, "closed": c.closed, "limit": c.options.Max, "waiting": c.waiting.Len(),
		}).Warn("connections closed: the limit of open ones is reached")
		c.closed, c.reportedAt = 0, now
	}
	return excess
}
