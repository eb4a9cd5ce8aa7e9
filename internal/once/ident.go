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

// ErrNotIssued reports text that is no request ID issued by an entry instance.
var ErrNotIssued = errors.New("not an issued request ID")

const (
	issuedPrefix = "aw1"
	issuedFields = 6
	tagBytes     = 8
	numberBase   = 36
)

// IssuedID is a request ID that an entry instance issued; only that incarnation redeems it, once.
type IssuedID struct {
	Issuer      model.InstanceID
	Incarnation model.Incarnation
	Sequence    int64
	// IssuedAt is the issuer's wall clock.
	IssuedAt time.Time
	tag      string
}

// ParseIssued parses an issued request ID; it returns ErrNotIssued for IDs that callers chose.
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

func (i IssuedID) fields() string {
	return strings.Join([]string{
		issuedPrefix, strconv.FormatInt(i.Sequence, numberBase),
		strconv.FormatInt(i.IssuedAt.UnixMilli(), numberBase), strconv.FormatInt(int64(i.Incarnation), numberBase),
	}, "-")
}

// issuer issues request IDs of one incarnation of an entry instance.
type issuer struct {
	instance    model.InstanceID
	incarnation model.Incarnation
	// secret makes issued IDs impossible to make up; it is lost with the process, as are the IDs.
	secret   [sha256.Size]byte
	sequence atomic.Int64
}

func newIssuer(instance model.InstanceID, incarnation model.Incarnation) *issuer {
	iss := &issuer{instance: instance, incarnation: incarnation}
	// crypto/rand.Read never returns an error; it ends the process instead.
	_, _ = rand.Read(iss.secret[:])
	return iss
}

func (iss *issuer) issue(now time.Time) string {
	id := IssuedID{
		Issuer: iss.instance, Incarnation: iss.incarnation, Sequence: iss.sequence.Add(1), IssuedAt: now,
	}
	return id.fields() + "-" + iss.tagOf(id) + "-" + string(id.Issuer)
}

// genuine reports whether this issuer issued the ID.
func (iss *issuer) genuine(id IssuedID) bool {
	return id.Issuer == iss.instance && id.Incarnation == iss.incarnation &&
		hmac.Equal([]byte(id.tag), []byte(iss.tagOf(id)))
}

func (iss *issuer) tagOf(id IssuedID) string {
	mac := hmac.New(sha256.New, iss.secret[:])
	mac.Write([]byte(id.fields()))
	return hex.EncodeToString(mac.Sum(nil)[:tagBytes])
}
