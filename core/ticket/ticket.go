package ticket

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
)

// Claims is the content of a ticket; only the side that issued the ticket can verify it.
type Claims struct {
	Upstream    settings.UpstreamID
	Incarnation peer.Incarnation
	// Issued is the instant on the issuing side's clock.
	Issued clock.Instant
	Nonce  []byte
}

const nonceBytes = 16

// MaxBytes is the longest text of a ticket in bytes.
const MaxBytes = 512

// InvalidError reports a ticket that cannot be decoded or is not valid.
type InvalidError struct {
	Reason string
}

func (e *InvalidError) Error() string { return "invalid ticket: " + e.Reason }

// Issuer issues and checks the tickets of one incarnation of a side.
type Issuer struct {
	upstream    settings.UpstreamID
	incarnation peer.Incarnation
	secret      []byte
}

// NewIssuer returns an issuer with a random secret, which is lost when the process ends.
func NewIssuer(upstream settings.UpstreamID, incarnation peer.Incarnation) (*Issuer, error) {
	secret := make([]byte, sha256.Size)
	if _, err := rand.Read(secret); err != nil {
		return nil, errors.Wrap(err, "generating the ticket secret")
	}
	return &Issuer{upstream: upstream, incarnation: incarnation, secret: secret}, nil
}

// Issue returns a new ticket.
func (i *Issuer) Issue(now clock.Instant) (string, error) {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return "", errors.Wrap(err, "generating a ticket nonce")
	}
	claims := Claims{Upstream: i.upstream, Incarnation: i.incarnation, Issued: now, Nonce: nonce}
	body, err := msgpack.Marshal(&claims)
	if err != nil {
		return "", errors.Wrap(err, "encoding a ticket")
	}
	return encode(body) + "." + encode(i.sign(body)), nil
}

// Check returns nil if a ticket was issued by this issuer less than lifetime ago.
func (i *Issuer) Check(now clock.Instant, text string, lifetime time.Duration) error {
	claims, body, mac, err := parse(text)
	if err != nil {
		return err
	}
	if claims.Incarnation != i.incarnation {
		return &InvalidError{Reason: "issued by another incarnation"}
	}
	if !hmac.Equal(mac, i.sign(body)) {
		return &InvalidError{Reason: "signature mismatch"}
	}
	if now.Sub(claims.Issued) >= lifetime {
		return &InvalidError{Reason: "expired"}
	}
	return nil
}

func (i *Issuer) sign(body []byte) []byte {
	h := hmac.New(sha256.New, i.secret)
	_, _ = h.Write(body)
	return h.Sum(nil)
}

// ParseUnverified returns the claims of a ticket without verifying it, so that a router can find the side that
// issued it.
func ParseUnverified(text string) (Claims, error) {
	claims, _, _, err := parse(text)
	return claims, err
}

func parse(text string) (claims Claims, body, mac []byte, err error) {
	if len(text) > MaxBytes {
		return claims, nil, nil, &InvalidError{Reason: "too long"}
	}
	first, second, ok := strings.Cut(text, ".")
	if !ok {
		return claims, nil, nil, &InvalidError{Reason: "missing the separator between claims and signature"}
	}
	body, err = base64.RawURLEncoding.DecodeString(first)
	if err != nil {
		return claims, nil, nil, &InvalidError{Reason: "claims are not base64url"}
	}
	mac, err = base64.RawURLEncoding.DecodeString(second)
	if err != nil {
		return claims, nil, nil, &InvalidError{Reason: "signature is not base64url"}
	}
	if err := msgpack.Unmarshal(body, &claims); err != nil {
		return claims, nil, nil, &InvalidError{Reason: "malformed claims"}
	}
	return claims, body, mac, nil
}

func encode(b []byte) string { return base64.RawURLEncoding.EncodeToString(b) }
