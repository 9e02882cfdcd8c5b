// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

//go:build review

// Command rig2 runs the cases of the second review: the project's own processes on loopback addresses, with small
// stand-ins of the platform, its servers and its callers.
//
//	rig2 CASE BINARY RECORD
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0
// it does the same without the disruption. KEEP names a folder for the logs of the processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// timeLimit is how long a case may take.
const timeLimit = 110 * time.Second

const (
	exitHeld = iota
	exitBroken
	exitCannotRun
)

// cases has the cases by name. A case returns whether its rule was broken.
var cases = map[string]func(s *site, trouble bool) bool{}

func main() {
	os.Exit(run())
}

func run() (code int) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE BINARY RECORD")
		return exitCannotRun
	}
	out, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer func() { _ = out.Close() }()
	r := &record{out: out, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("case %s, trouble %t", os.Args[1], trouble)
	defer func() {
		switch p := recover().(type) {
		case nil:
		case cannotRun:
			r.line("the case could not run: %v", p.err)
			code = exitCannotRun
		default:
			panic(p)
		}
	}()
	s := newSite(r, os.Args[2])
	defer s.close(os.Getenv("KEEP"))
	ended := make(chan struct{})
	defer close(ended)
	go s.limit(ended)
	broken := cases[os.Args[1]](s, trouble)
	if broken {
		r.line("RESULT: the rule was broken")
		return exitBroken
	}
	r.line("RESULT: the rule held")
	return exitHeld
}

// limit ends the case, with all its processes, at a signal or once it takes too long.
func (s *site) limit(ended <-chan struct{}) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-ended:
		return
	case <-signals:
	case <-time.After(timeLimit):
	}
	s.line("the case could not run to its end")
	s.close(os.Getenv("KEEP"))
	os.Exit(exitCannotRun)
}
