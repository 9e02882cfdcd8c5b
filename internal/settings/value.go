// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

var errAddress = errors.New("want an IP address and a port, as in 10.0.0.1:7000")

func address(target *netip.AddrPort) func(string) error {
	return func(text string) error {
		a, err := netip.ParseAddrPort(text)
		if err != nil || a.Port() == 0 {
			return errAddress
		}
		*target = a
		return nil
	}
}

func addresses(target *[]netip.AddrPort) func(string) error {
	return func(text string) error {
		var list []netip.AddrPort
		for part := range strings.SplitSeq(text, ",") {
			var a netip.AddrPort
			if err := address(&a)(strings.TrimSpace(part)); err != nil {
				return fmt.Errorf("%q: %w; separate several addresses by commas", part, err)
			}
			list = append(list, a)
		}
		*target = list
		return nil
	}
}

func duration(target *time.Duration, minimum, maximum time.Duration) func(string) error {
	return func(text string) error {
		d, err := time.ParseDuration(text)
		if err != nil || d < minimum || d > maximum {
			return fmt.Errorf("want a duration with a unit, from %v to %v", minimum, maximum)
		}
		*target = d
		return nil
	}
}

func number(target *int, minimum, maximum int) func(string) error {
	return func(text string) error {
		n, err := strconv.Atoi(text)
		if err != nil || n < minimum || n > maximum {
			return fmt.Errorf("want an integer from %d to %d", minimum, maximum)
		}
		*target = n
		return nil
	}
}

// Toggle is a setting that is on, off, or left to what the configuration contains.
type Toggle string

// Values of a Toggle.
const (
	ToggleAuto Toggle = "auto"
	ToggleOn   Toggle = "on"
	ToggleOff  Toggle = "off"
)

// Enabled returns whether the setting is on, given what ToggleAuto stands for.
func (t Toggle) Enabled(auto bool) bool {
	return t == ToggleOn || t != ToggleOff && auto
}

func toggle(target *Toggle) func(string) error {
	return func(text string) error {
		switch t := Toggle(text); t {
		case ToggleAuto, ToggleOn, ToggleOff:
			*target = t
			return nil
		default:
			return errors.New("want auto, on or off")
		}
	}
}

func level(target *logrus.Level) func(string) error {
	return func(text string) error {
		l, err := logrus.ParseLevel(text)
		if err != nil {
			return errors.New("want error, warn, info or debug")
		}
		*target = l
		return nil
	}
}

func format(asJSON *bool) func(string) error {
	return func(text string) error {
		switch text {
		case "json":
			*asJSON = true
		case "text":
			*asJSON = false
		default:
			return errors.New("want text or json")
		}
		return nil
	}
}
