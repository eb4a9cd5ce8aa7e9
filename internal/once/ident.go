package once

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"arbutuswing.example/internal/model"
)

// ErrNotIssued reports that a request ID does not have the format of IDs issued by an entry instance.
var ErrNotIssued = errors.New("not an issued request ID")

const (
	issuedPrefix = "aw1"
	issuedFields = 6
	tagBytes     = 8
	numberBase   = 36
)

// IssuedID is a parsed request ID that an entry instance issued. Only the issuing incarnation grants a claim for it,
// and only once.
type IssuedID struct {
	Issuer      model.InstanceID
	Incarnation model.Incarnation
	Sequence    int64
	// IssuedAt is the time by the issuer's wall clock.
	IssuedAt time.Time
	// tag is the truncated HMAC of all other fields except the issuer, in hexadecimal.
	tag string
}

// ParseIssued parses an issued request ID without verifying its tag; it returns ErrNotIssued for IDs in any other
// format, such as those that clients choose.
func ParseIssued(id string) (IssuedID, error) {
	fields := strings.SplitN(id, "-", issuedFields)
	if len(fields) != issuedFields || fields[0] != issuedPrefix {
		return IssuedID{}, ErrNotIssued
	}
	var numbers [3]int64
	for i, field := range fields[1:4] {
		n, err := strconv.ParseInt(field, numberBase, 64)
		if err != nil {
			return IssuedID{}, fmt.Errorf("%w: %q", ErrNotIssued, field)
		}
		numbers[i] = n
	}
	return IssuedID{
		Sequence: numbers[0], IssuedAt: time.UnixMilli(numbers[1]), Incarnation: model.Incarnation(numbers[2]),
		tag: fields[4], Issuer: model.InstanceID(fields[5]),
	}, nil
}

// fields returns the part of the ID that the tag authenticates; the issuer's name follows the tag.
func (i IssuedID) fields() string {
	return strings.Join([]string{
		issuedPrefix, strconv.FormatInt(i.Sequence, numberBase),
		strconv.FormatInt(i.IssuedAt.UnixMilli(), numberBase), strconv.FormatInt(int64(i.Incarnation), numberBase),
	}, "-")
}

// issuer issues and verifies request IDs for one incarnation of an entry instance.
type issuer struct {
	instance    model.InstanceID
	incarnation model.Incarnation
	// secret is the HMAC key against forged IDs. It is lost when the process ends, and IDs issued with it are then
	// invalid.
	secret   [sha256.Size]byte
	sequence atomic.Int64
}

func newIssuer(instance model.InstanceID, incarnation model.Incarnation) *issuer {
	iss := &issuer{instance: instance, incarnation: incarnation}
	// crypto/rand.Read never returns an error; it aborts the process instead.
	_, _ = rand.Read(iss.secret[:])
	return iss
}

func (iss *issuer) issue(now time.Time) string {
	id := IssuedID{
		Issuer: iss.instance, Incarnation: iss.incarnation, Sequence: iss.sequence.Add(1), IssuedAt: now,
	}
	return id.fields() + "-" + iss.tagOf(id) + "-" + string(id.Issuer)
}

// issued reports whether this issuer issued the ID.
func (iss *issuer) issued(id IssuedID) bool {
	return id.Issuer == iss.instance && id.Incarnation == iss.incarnation &&
		hmac.Equal([]byte(id.tag), []byte(iss.tagOf(id)))
}

func (iss *issuer) tagOf(id IssuedID) string {
	mac := hmac.New(sha256.New, iss.secret[:])
	mac.Write([]byte(id.fields()))
	return hex.EncodeToString(mac.Sum(nil)[:tagBytes])
}
