// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Ask sends one question to a wingvale site and prints the answer as it arrives:
//
//	go run ./examples/ask 127.0.0.1:7000 'How do I mix alpine grey?'
package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/wingvale/wingvale/client"
	"github.com/wingvale/wingvale/pipeline"
	"github.com/wingvale/wingvale/request"
	"github.com/wingvale/wingvale/verdict"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: ask ADDRESS QUESTION")
		os.Exit(2)
	}
	address, err := netip.ParseAddrPort(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	caller := client.New(client.Options{Bootstrap: []netip.AddrPort{address}})
	spec := request.Spec{
		Workspace: "paint-shops-north",
		Pipeline:  "recipe-explanation",
		Input:     os.Args[2],
		Deadline:  pipeline.Duration(2 * time.Second),
	}
	answer, err := caller.Stream(context.Background(), spec, client.Observer{
		Text: func(text string) { fmt.Print(text) },
	})
	if err != nil {
		// The verdict says whether a retry could run the request twice.
		fmt.Fprintln(os.Stderr, verdict.Of(err), err)
		os.Exit(1)
	}
	fmt.Printf("\n%d stages\n", len(answer.Costs))
}
