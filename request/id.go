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

// Incarnation names one run of one node. Two runs at the same address differ.
type Incarnation uint64

// Key signs ids. Each incarnation makes its own and shows it to nobody.
type Key [32]byte

// ID names one request and the incarnation that alone may start it.
type ID struct {
	// Issuer is where callers reach the issuing node.
	Issuer netip.AddrPort
	// Incarnation is the issuer's.
	Incarnation Incarnation
	// Sequence is unique within the incarnation.
	Sequence uint64
	// Issued is the time between the incarnation's start and the issue, by the
	// issuer's monotonic clock, in whole milliseconds.
	Issued time.Duration
	// Seal is the issuer's signature over the other fields.
	Seal [sealBytes]byte
}

const (
	idVersion = 1
	sealBytes = 8
	addrBytes = 16
	idBytes   = 1 + addrBytes + 2 + 8 + 8 + 8 + sealBytes
	idPrefix  = "wv"
)

var idCoding = base32.NewEncoding("0123456789abcdefghjkmnpqrstvwxyz").WithPadding(base32.NoPadding)

// Issue returns a signed id.
func Issue(key Key, issuer netip.AddrPort, inc Incarnation, seq uint64, issued time.Duration) ID {
	id := ID{Issuer: issuer, Incarnation: inc, Sequence: seq, Issued: issued.Truncate(time.Millisecond)}
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
	return binary.BigEndian.AppendUint64(b, uint64(id.Issued.Milliseconds()))
}

// IsZero reports whether id is no id.
func (id ID) IsZero() bool {
	return id == ID{}
}

// String returns the wire form, which is safe in a URL path.
func (id ID) String() string {
	return idPrefix + idCoding.EncodeToString(append(id.appendBody(nil), id.Seal[:]...))
}

// ParseID reads the wire form. It cannot tell whether the id was ever issued.
func ParseID(text string) (ID, error) {
	body, ok := strings.CutPrefix(text, idPrefix)
	if !ok || len(body) != idCoding.EncodedLen(idBytes) {
		return ID{}, fmt.Errorf("request: %.80q is no request id", text)
	}
	raw, err := idCoding.DecodeString(body)
	if err != nil {
		return ID{}, fmt.Errorf("request: %.80q is no request id: %w", text, err)
	}
	if raw[0] != idVersion {
		return ID{}, fmt.Errorf("request: id version %d, this release reads %d", raw[0], idVersion)
	}
	id := decodeID(raw[1:])
	if id.String() != text {
		return ID{}, fmt.Errorf("request: %.80q is no request id in its one form", text)
	}
	return id, nil
}

func decodeID(raw []byte) ID {
	addr := netip.AddrFrom16([addrBytes]byte(raw[:addrBytes])).Unmap()
	raw = raw[addrBytes:]
	id := ID{
		Issuer:      netip.AddrPortFrom(addr, binary.BigEndian.Uint16(raw)),
		Incarnation: Incarnation(binary.BigEndian.Uint64(raw[2:])),
		Sequence:    binary.BigEndian.Uint64(raw[10:]),
		Issued:      time.Duration(binary.BigEndian.Uint64(raw[18:])&maxIssued) * time.Millisecond,
	}
	copy(id.Seal[:], raw[26:])
	return id
}

// maxIssued keeps a forged issue time within a time.Duration.
const maxIssued = 1<<40 - 1

// MarshalText returns the wire form and never fails.
func (id ID) MarshalText() ([]byte, error) {
	if id.IsZero() {
		return nil, nil
	}
	return []byte(id.String()), nil
}

// UnmarshalText reads the wire form; empty text is the zero id.
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
