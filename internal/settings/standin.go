// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package settings

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"gopkg.in/ini.v1"
)

// Standin has the settings of the stand-ins.
type Standin struct {
	// Site is the name of an example site.
	Site string
	// CallTime is the duration of one call, TokenInterval the time between two tokens.
	CallTime      time.Duration
	TokenInterval time.Duration
	// FailShare is the share of calls that fail, from 0 to 1.
	FailShare float64
	// Nodes is the number of daemons that get an entry in the host list, and a settings file
	// in SettingsFolder.
	Nodes          int
	SettingsFolder string
}

// LoadStandin reads and checks the file at path.
func LoadStandin(path string) (Standin, error) {
	file, err := ini.Load(path)
	if err != nil {
		return Standin{}, fmt.Errorf("settings: %s: %w", path, err)
	}
	s := Standin{CallTime: 5 * time.Millisecond, TokenInterval: 2 * time.Millisecond, Nodes: 3, SettingsFolder: "."}
	keys := []key{
		{section: "standin", name: "site", required: true, set: name(&s.Site)},
		{section: "standin", name: "work", set: duration(&s.CallTime, 0, time.Minute)},
		{section: "standin", name: "token", set: duration(&s.TokenInterval, 0, time.Minute)},
		{section: "standin", name: "fail", set: share(&s.FailShare)},
		{section: "standin", name: "nodes", set: number(&s.Nodes, 0, 64)},
		{section: "standin", name: "folder", set: func(text string) error {
			s.SettingsFolder = text
			return nil
		}},
	}
	r := newReader(path, file, keys)
	return s, r.read(func() error { return nil })
}

func share(target *float64) func(string) error {
	return func(text string) error {
		x, err := strconv.ParseFloat(text, 64)
		if err != nil || x < 0 || x > 1 {
			return errors.New("want a share from 0 to 1")
		}
		*target = x
		return nil
	}
}
