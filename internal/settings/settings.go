// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"gopkg.in/ini.v1"

	"github.com/wingvale/wingvale/pipeline"
)

// Settings has the settings of one node.
type Settings struct {
	// Caller is the address for callers; it identifies the node.
	Caller netip.AddrPort
	// Peer is the address for other nodes and operators.
	Peer netip.AddrPort
	// Zone is the node's availability zone.
	Zone string
	// Platform has the addresses of the configuration service, at least one.
	Platform []netip.AddrPort
	// Seeds are the peer addresses to contact while the platform does not answer.
	Seeds []netip.AddrPort
	// ReadyAfter is how long a starting node waits for both the platform and a peer before one
	// of them is enough.
	ReadyAfter time.Duration
	// AnswerTTL is how long callers may cache an answer with addresses.
	AnswerTTL time.Duration
	// MaxRunning limits the concurrent requests.
	MaxRunning int
	// MaxPoolServers limits the backend servers of one pool that the node uses.
	MaxPoolServers int
	// MaxCallers limits the open connections of callers.
	MaxCallers int
	// AnnouncePeriod is how long a stopping node still admits requests after it has announced to its
	// peers that it is leaving.
	AnnouncePeriod time.Duration
	// DrainTimeout is how long a stopping node waits for requests that could be resumed at another
	// node. It waits for all others until their deadline.
	DrainTimeout time.Duration
	// LogLevel and LogJSON are the level and the format of the log.
	LogLevel logrus.Level
	LogJSON  bool
}

// Default returns the default settings, without addresses.
func Default() Settings {
	return Settings{
		Zone:           "",
		ReadyAfter:     5 * time.Second,
		AnswerTTL:      30 * time.Second,
		MaxRunning:     4096,
		MaxPoolServers: 64,
		MaxCallers:     8192,
		AnnouncePeriod: 3 * time.Second,
		DrainTimeout:   10 * time.Second,
		LogLevel:       logrus.InfoLevel,
	}
}

// Load reads and checks the file at path. The error joins one error for each invalid setting.
func Load(path string) (Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, SpaceBeforeInlineComment: true}, path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %s: %w", path, err)
	}
	s := Default()
	r := newReader(path, file, s.keys())
	return s, r.read(s.checkConsistency)
}

// keys returns all keys, each with the function that sets its value.
func (s *Settings) keys() []key {
	return []key{
		{section: "node", name: "caller", required: true, set: address(&s.Caller)},
		{section: "node", name: "peer", required: true, set: address(&s.Peer)},
		{section: "node", name: "zone", required: true, set: name(&s.Zone)},
		{section: "node", name: "seeds", set: addresses(&s.Seeds)},
		{section: "platform", name: "addresses", required: true, set: addresses(&s.Platform)},
		{section: "platform", name: "ready-after", set: duration(&s.ReadyAfter, 0, time.Hour)},
		{section: "callers", name: "hold", set: duration(&s.AnswerTTL, time.Second, time.Hour)},
		{section: "callers", name: "max-connections", set: number(&s.MaxCallers, 1, 1<<20)},
		{section: "limits", name: "max-running", set: number(&s.MaxRunning, 1, 1<<20)},
		{section: "limits", name: "subset", set: number(&s.MaxPoolServers, 1, 1<<12)},
		{section: "stop", name: "announce", set: duration(&s.AnnouncePeriod, 0, time.Hour)},
		{section: "stop", name: "drain", set: duration(&s.DrainTimeout, 0, 24*time.Hour)},
		{section: "log", name: "level", set: level(&s.LogLevel)},
		{section: "log", name: "format", set: format(&s.LogJSON)},
	}
}

func (s *Settings) checkConsistency() error {
	var errs []error
	if s.Caller.IsValid() && s.Caller == s.Peer {
		errs = append(errs, fmt.Errorf("[node] caller and peer are both %s, but must differ", s.Caller))
	}
	if slices.Contains(s.Platform, s.Caller) && s.Caller.IsValid() {
		errs = append(errs, fmt.Errorf("[platform] addresses contains the node's own address %s", s.Caller))
	}
	return errors.Join(errs...)
}

type key struct {
	section  string
	name     string
	required bool
	set      func(text string) error
}

type reader struct {
	path string
	file *ini.File
	keys []key
}

func newReader(path string, file *ini.File, keys []key) *reader {
	return &reader{path: path, file: file, keys: keys}
}

func (r *reader) read(checkConsistency func() error) error {
	errs := r.unknownKeys()
	for _, k := range r.keys {
		if err := r.readKey(k); err != nil {
			errs = append(errs, err)
		}
	}
	if err := checkConsistency(); err != nil {
		errs = append(errs, fmt.Errorf("%s: %w", r.path, err))
	}
	return errors.Join(errs...)
}

func (r *reader) readKey(k key) error {
	section := r.file.Section(k.section)
	if !section.HasKey(k.name) {
		if k.required {
			return fmt.Errorf("%s: [%s] %s is missing", r.path, k.section, k.name)
		}
		return nil
	}
	values := section.Key(k.name).ValueWithShadows()
	if len(values) > 1 {
		return fmt.Errorf("%s: [%s] %s is set %d times", r.path, k.section, k.name, len(values))
	}
	text := section.Key(k.name).String()
	if err := k.set(text); err != nil {
		return fmt.Errorf("%s: [%s] %s = %q: %w", r.path, k.section, k.name, text, err)
	}
	return nil
}

func (r *reader) unknownKeys() []error {
	known := make(map[string]bool)
	for _, k := range r.keys {
		known[k.section+"/"+k.name] = true
		known[k.section] = true
	}
	var errs []error
	for _, section := range r.file.Sections() {
		if section.Name() != ini.DefaultSection && !known[section.Name()] {
			errs = append(errs, fmt.Errorf("%s: [%s] is an unknown section; the known sections are %s", r.path, section.Name(), r.sectionNames()))
			continue
		}
		for _, k := range section.Keys() {
			if !known[section.Name()+"/"+k.Name()] {
				errs = append(errs, fmt.Errorf("%s: [%s] %s is an unknown key", r.path, section.Name(), k.Name()))
			}
		}
	}
	return errs
}

func (r *reader) sectionNames() string {
	var names []string
	for _, k := range r.keys {
		if !slices.Contains(names, k.section) {
			names = append(names, k.section)
		}
	}
	return strings.Join(names, ", ")
}

func name(target *string) func(string) error {
	return func(text string) error {
		*target = text
		return pipeline.CheckName("name", text)
	}
}
