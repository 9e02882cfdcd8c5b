// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package handover passes requests from a host that reaches no backend server to one that does.
//
// A request is a single HTTP call between two hosts. The receiving host serves it as if the caller
// had sent it there, except that it never hands it over again. It asks for the body of the call
// only if it takes the request, and runs nothing before it has the whole body, so a call that
// failed earlier has certainly not run. The answer is a series of frames. Only an end frame makes it
// complete; the end of the connection does not.
package handover
