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

// Claims is what a ticket says; only the side that issued it can check it.
type Claims struct {
	Upstream    settings.UpstreamID
	Incarnation peer.Incarnation
	// Issued is the instant on the issuing side's clock.
	Issued clock.Instant
	Nonce  []byte
}

const nonceBytes = 16

// MaxBytes bounds the text of a ticket.
const MaxBytes = 512

// InvalidError reports a ticket that cannot be used.
type InvalidError struct {
	Reason string
}

func (e *InvalidError) Error() string { return "invalid ticket: " + e.Reason }

// Issuer makes and checks the tickets of one incarnation of a side.
type Issuer struct {
	upstream    settings.UpstreamID
	incarnation peer.Incarnation
	secret      []byte
}

// NewIssuer returns an issuer with a secret of its own, which dies with the process.
func NewIssuer(upstream settings.UpstreamID, incarnation peer.Incarnation) (*Issuer, error) {
	secret := make([]byte, sha256.Size)
	if _, err := rand.Read(secret); err != nil {
		return nil, errors.Wrap(err, "drawing a secret")
	}
	return &Issuer{upstream: upstream, incarnation: incarnation, secret: secret}, nil
}

// Issue returns a new ticket.
func (i *Issuer) Issue(now clock.Instant) (string, error) {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return "", errors.Wrap(err, "drawing a nonce")
	}
	claims := Claims{Upstream: i.upstream, Incarnation: i.incarnation, Issued: now, Nonce: nonce}
	body, err := msgpack.Marshal(&claims)
	if err != nil {
		return "", errors.Wrap(err, "encoding a ticket")
	}
	return encode(body) + "." + encode(i.sign(body)), nil
}

// Check reports whether a ticket was issued here and is younger than lifetime.
func (i *Issuer) Check(now clock.Instant, text string, lifetime time.Duration) error {
	claims, body, mac, err := parse(text)
	if err != nil {
		return err
	}
	if claims.Incarnation != i.incarnation {
		return &InvalidError{Reason: "issued by another incarnation"}
	}
	if !hmac.Equal(mac, i.sign(body)) {
		return &InvalidError{Reason: "not issued here"}
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

// ParseUnverified returns what a ticket says, unchecked, so that a router can send it to the side that issued it.
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
		return claims, nil, nil, &InvalidError{Reason: "not two parts"}
	}
	body, err = base64.RawURLEncoding.DecodeString(first)
	if err != nil {
		return claims, nil, nil, &InvalidError{Reason: "not base64url"}
	}
	mac, err = base64.RawURLEncoding.DecodeString(second)
	if err != nil {
		return claims, nil, nil, &InvalidError{Reason: "not base64url"}
	}
	if err := msgpack.Unmarshal(body, &claims); err != nil {
		return claims, nil, nil, &InvalidError{Reason: "not readable"}
	}
	return claims, body, mac, nil
}

func encode(b []byte) string { return base64.RawURLEncoding.EncodeToString(b) }
