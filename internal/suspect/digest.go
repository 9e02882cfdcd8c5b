// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package suspect

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
)

// Digest identifies a request, or a part of prompts, across all attempts and hosts. 0 means none.
type Digest uint64

// Traits are what crashes of servers can be attributed to: a request, and the parts of its prompt that it
// shares with others.
type Traits struct {
	Request Digest
	Parts   []Digest
}

// MaxParts is the most parts of one prompt that crashes are attributed to.
const MaxParts = 32

// Content is what identifies a request. Two requests with equal contents are the same.
type Content struct {
	Workspace string
	Method    string
	Host      string
	// Target is the path and query.
	Target string
	Body   []byte
}

// DigestOf returns the digest of a request. It uses a cryptographic hash: a workspace that
// could construct a body with the digest of another's request could have that refused.
func DigestOf(c Content) Digest {
	return digestOf(c.Body, c.Workspace, c.Method, c.Host, c.Target)
}

// DigestOfPart returns the digest of a part of prompts that a workspace sends to a service. Another
// workspace's part has another digest, also if it has the same name, so that no workspace can have the
// requests of another refused.
func DigestOfPart(workspace, service, name string) Digest {
	return digestOf(nil, workspace, service, name)
}

func digestOf(body []byte, fields ...string) Digest {
	h := sha256.New()
	for _, field := range fields {
		// Writing to a hash cannot fail.
		_ = binary.Write(h, binary.LittleEndian, uint64(len(field)))
		_, _ = io.WriteString(h, field)
	}
	_, _ = h.Write(body)
	return Digest(binary.LittleEndian.Uint64(h.Sum(nil)))
}

// String returns the digest in hexadecimal, as it appears in logs.
func (d Digest) String() string {
	return fmt.Sprintf("%016x", uint64(d))
}

// MarshalJSON encodes the digest as its String.
func (d Digest) MarshalJSON() ([]byte, error) {
	return json.Marshal(d.String())
}

// UnmarshalJSON decodes the form that MarshalJSON writes.
func (d *Digest) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("suspect: digest: %w", err)
	}
	n, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return fmt.Errorf("suspect: digest: %w", err)
	}
	*d = Digest(n)
	return nil
}
