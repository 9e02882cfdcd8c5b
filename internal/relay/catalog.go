// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Catalog is one configuration: routes, services and keys. It is immutable once built.
type Catalog struct {
	// Version is the version number that the operators gave the configuration.
	Version uint64
	// routes maps a host name to its routes, the longest prefix first.
	routes   map[string][]*Route
	services map[string]*Service
	// keys maps callers' keys to workspaces; nil means that no key is required.
	keys   map[string]*Workspace
	Limits Limits
	// LacksKeys reports whether keys are missing because a workspace can't be used.
	LacksKeys bool
	// LoadAware says that decisions use the load model of engines and pools. It is set before
	// the catalog is in force.
	LoadAware bool
	// Problems are the parts of the configuration that can't be used.
	Problems []Problem
}

// Problem is a part of a configuration that can't be used, and why.
type Problem struct {
	Part   string
	Reason string
}

// maxFewSlots is the largest number of slots that counts as few: a single prompt is then 6 in
// 100 of the engine or more, and reading it stops a large share of the engine's streams.
const maxFewSlots = 16

// HasFewSlotEngines reports whether a service has engines with few slots.
func (c *Catalog) HasFewSlotEngines() bool {
	for _, s := range c.services {
		if s.Engine != nil && s.Engine.Slots > 0 && s.Engine.Slots <= maxFewSlots {
			return true
		}
	}
	return false
}

// Limits restrict the size and the duration of what callers send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Workspace is one customer.
type Workspace struct {
	Name string
	// Priority takes precedence over the route's; 0 is the most urgent.
	Priority int
	// AllowedRegions applies in addition to the route's AllowedRegions.
	AllowedRegions Regions
}

// Route defines how requests for one host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Stream means that answers are series of events. Repeatable means that a request may
	// run more than once, Resumable that another server can continue a stream. A stream
	// that is not Resumable is not Repeatable.
	Stream     bool
	Repeatable bool
	Resumable  bool
	// Public routes require no key.
	Public bool
	// Timeout is how long a request may be held. Objective is the time within which an
	// answer (or its first event) is in time, and MaxGap the longest pause between events
	// that still counts as in time.
	Timeout   time.Duration
	Objective time.Duration
	MaxGap    time.Duration
	// FirstEventTimeout is how long callers wait for the first event of a stream; 0 means
	// as long as for the whole stream.
	FirstEventTimeout time.Duration
	Priority          int
	// MaxAttempts is the number of servers that one request may run on, at least 1.
	MaxAttempts int
	Targets     []Target
	Stages      []Stage
	// AllowedRegions are the regions in which the route's requests may be served.
	AllowedRegions Regions
	// Unusable is the reason why the route can't be used; all its requests are refused. Only the name, the
	// host, the prefix and Public are set then.
	Unusable string
}

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string
	// Weight is greater than 0.
	Weight int
}

// Stage is work that must be done before a request can run.
type Stage struct {
	Service string
	// After holds the indexes of the stages whose results this stage needs, each once. They may be listed
	// before or after this one.
	After []int
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name     string
	MaxConns int
	// ColdRate is the number of requests per second that a cold server can handle; 0 means
	// unlimited.
	ColdRate float64
	// Engine is set for model engines, Batch for stage servers.
	Engine *Engine
	Batch  *Batch
}

// Engine describes a model engine.
type Engine struct {
	Slots  int
	Tokens int
	// TokenBytes is the number of bytes of memory that a token takes, and Link the number of bytes
	// per second that an engine sends; 0 means unknown.
	TokenBytes int64
	Link       float64
	// EventTokens is the number of tokens in an event of a stream; 0 means unknown.
	EventTokens int
}

// Batch describes a stage server, which runs the pieces of stage work in batches.
type Batch struct {
	// Slots is the number of calls that a server runs at once, and Size the maximum number of
	// pieces in one call.
	Slots int
	Size  int
	// CallTime is the fixed time of a call, and PieceTime the time that each piece adds.
	CallTime  time.Duration
	PieceTime time.Duration
	// ResultCapacity is how many bytes of results a server can hold, and ResultTTL how long it
	// keeps a result that is not released.
	ResultCapacity int64
	ResultTTL      time.Duration
}

// Server is one backend server as published.
type Server struct {
	// Instance identifies one run of the server; a restarted server has another.
	Instance string
	// InvalidReason is the reason why an entry does not describe a server; the other fields
	// are unset then.
	InvalidReason string
	Service       string
	Address       netip.AddrPort
	Zone          string
	// Region is the region of the zone; empty means unknown.
	Region string
	// StartedAt is when the run started, by the server's clock; zero if it does not say.
	StartedAt time.Time
	// Version is the version of the server's software; empty means unknown.
	Version string
	// Slots is the number of requests that the server works on concurrently.
	Slots int
	// Leaving means that the server must not receive new work.
	Leaving bool
	// ColdLeft is how much longer the server is cold, as published. ColdUntil is when that
	// ends, counted from when the node received the entry.
	ColdLeft  time.Duration
	ColdUntil time.Time
	// Evacuated means that nothing at all may be sent to the server because its zone is
	// being evacuated.
	Evacuated bool
}

// Closed reports whether the server must not receive new work.
func (s Server) Closed() bool {
	return s.Leaving || s.Evacuated
}

// NewCatalog returns a catalog. Keys may be nil.
func NewCatalog(version uint64, routes []Route, services []Service, keys map[string]*Workspace, limits Limits) *Catalog {
	c := &Catalog{
		Version:  version,
		routes:   make(map[string][]*Route),
		services: make(map[string]*Service, len(services)),
		keys:     keys,
		Limits:   limits,
	}
	for i := range routes {
		r := &routes[i]
		c.routes[r.Host] = append(c.routes[r.Host], r)
	}
	for _, list := range c.routes {
		slices.SortFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range services {
		c.services[services[i].Name] = &services[i]
	}
	for i := range routes {
		for _, reason := range c.missingServices(&routes[i]) {
			c.Problems = append(c.Problems, Problem{Part: "route " + routes[i].Name, Reason: reason})
		}
	}
	return c
}

// Match returns the route of the host with the longest prefix of path, or nil.
func (c *Catalog) Match(host, path string) *Route {
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Workspace returns the workspace of a key. If no keys are required, all callers share a
// workspace without a name.
func (c *Catalog) Workspace(key string) (*Workspace, bool) {
	if c.keys == nil {
		return &Workspace{}, true
	}
	w, ok := c.keys[key]
	return w, ok
}

// Service returns the service with the given name, or nil.
func (c *Catalog) Service(name string) *Service {
	return c.services[name]
}

// Services returns all services by name.
func (c *Catalog) Services() map[string]*Service {
	return c.services
}

// hasTarget reports whether a service receives requests of the route.
func (r *Route) hasTarget(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service })
}

// pickTarget picks one of the route's services by weight; point is in [0, 1).
func (r *Route) pickTarget(point float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	at := int(point * float64(total))
	for _, t := range r.Targets {
		if at -= t.Weight; at < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
