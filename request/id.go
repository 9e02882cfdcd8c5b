// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package request

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base32"
	"encoding/binary"
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// Incarnation identifies one run of one node. Two runs at the same address have different
// incarnations.
type Incarnation uint64

// Key signs ids. Each incarnation creates its own key and keeps it secret.
type Key [32]byte

// ID identifies one request, and the only incarnation that may start it.
type ID struct {
	// Issuer is the address for callers of the issuing node.
	Issuer netip.AddrPort
	// Incarnation is that of the issuer.
	Incarnation Incarnation
	// Sequence is unique within the incarnation.
	Sequence uint64
	// IssueOffset is the time of issue since the start of the incarnation, by the monotonic clock
	// of the issuer, in whole milliseconds.
	IssueOffset time.Duration
	// Seal is the issuer's signature of the other fields.
	Seal [sealBytes]byte
}

const (
	idVersion    = 1
	sealBytes    = 8
	addressBytes = 16
	idBytes      = 1 + addressBytes + 2 + 8 + 8 + 8 + sealBytes
	idPrefix     = "wv"
)

var idEncoding = base32.NewEncoding("0123456789abcdefghjkmnpqrstvwxyz").WithPadding(base32.NoPadding)

// IssueID returns a signed id.
func IssueID(key Key, issuer netip.AddrPort, incarnation Incarnation, sequence uint64, issued time.Duration) ID {
	id := ID{Issuer: issuer, Incarnation: incarnation, Sequence: sequence, IssueOffset: issued.Truncate(time.Millisecond)}
	id.Seal = id.sign(key)
	return id
}

// Verify reports whether id was issued with key.
func (id ID) Verify(key Key) bool {
	want := id.sign(key)
	return hmac.Equal(want[:], id.Seal[:])
}

func (id ID) sign(key Key) (seal [sealBytes]byte) {
	mac := hmac.New(sha256.New, key[:])
	mac.Write(id.appendBody(nil))
	copy(seal[:], mac.Sum(nil))
	return seal
}

func (id ID) appendBody(b []byte) []byte {
	addr := id.Issuer.Addr().As16()
	b = append(b, idVersion)
	b = append(b, addr[:]...)
	b = binary.BigEndian.AppendUint16(b, id.Issuer.Port())
	b = binary.BigEndian.AppendUint64(b, uint64(id.Incarnation))
	b = binary.BigEndian.AppendUint64(b, id.Sequence)
	return binary.BigEndian.AppendUint64(b, uint64(id.IssueOffset.Milliseconds()))
}

// IsZero reports whether id is the zero ID.
func (id ID) IsZero() bool {
	return id == ID{}
}

// String returns the wire form, which is safe in a URL path.
func (id ID) String() string {
	return idPrefix + idEncoding.EncodeToString(append(id.appendBody(nil), id.Seal[:]...))
}

// ParseID parses the wire form. It does not check whether the id was ever issued.
func ParseID(text string) (ID, error) {
	body, ok := strings.CutPrefix(text, idPrefix)
	if !ok || len(body) != idEncoding.EncodedLen(idBytes) {
		return ID{}, fmt.Errorf("request: %.80q is not a request id", text)
	}
	raw, err := idEncoding.DecodeString(body)
	if err != nil {
		return ID{}, fmt.Errorf("request: %.80q is not a request id: %w", text, err)
	}
	if raw[0] != idVersion {
		return ID{}, fmt.Errorf("request: id has version %d, this release supports %d", raw[0], idVersion)
	}
	id := decodeID(raw[1:])
	if id.String() != text {
		return ID{}, fmt.Errorf("request: %.80q is not a request id in canonical form", text)
	}
	return id, nil
}

func decodeID(raw []byte) ID {
	addr := netip.AddrFrom16([addressBytes]byte(raw[:addressBytes])).Unmap()
	raw = raw[addressBytes:]
	id := ID{
		Issuer:      netip.AddrPortFrom(addr, binary.BigEndian.Uint16(raw)),
		Incarnation: Incarnation(binary.BigEndian.Uint64(raw[2:])),
		Sequence:    binary.BigEndian.Uint64(raw[10:]),
		IssueOffset: time.Duration(binary.BigEndian.Uint64(raw[18:])&maxIssuedMs) * time.Millisecond,
	}
	copy(id.Seal[:], raw[26:])
	return id
}

// maxIssuedMs keeps a forged time of issue within the range of time.Duration.
const maxIssuedMs = 1<<40 - 1

// MarshalText returns the wire form. It never fails.
func (id ID) MarshalText() ([]byte, error) {
	if id.IsZero() {
		return nil, nil
	}
	return []byte(id.String()), nil
}

// UnmarshalText parses the wire form; an empty text is the zero ID.
func (id *ID) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		*id = ID{}
		return nil
	}
	v, err := ParseID(string(text))
	if err != nil {
		return err
	}
	*id = v
	return nil
}
