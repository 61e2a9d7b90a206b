package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/process/recorder"
	"dandeliontrack.example/dandeliontrack/internal/request/stripper"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// storeTimeout bounds the store operations after the request has run or was
// abandoned. It does not depend on the deadline of the request, which may have
// passed.
const storeTimeout = 2 * time.Second

// serveKeyed runs a request with an idempotency key: it makes a claim,
// dispatches the request once, stores the response and then writes it.
func (x *exchange) serveKeyed() error {
	if err := x.readBody(); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	claim, stored, err := x.f.options.Claims.Begin(ctx, x.service, x.account.Name(), x.key, x.fingerprint())
	if err != nil {
		return err
	}
	if stored != nil {
		x.replayed = true
		x.steps.AddStep(time.Now(), recorder.Claimed, nil, nil, "the key has a stored response")
		return x.replay(stored)
	}
	if x.abandoned() {
		x.voidClaim(claim)
		return errCallerGone
	}
	x.claim = claim
	x.steps.AddStep(time.Now(), recorder.Claimed, nil, nil, claim.ID())
	a, err := x.fetch()
	if err != nil {
		if !x.sent || classifier.Of(err) == classifier.Shed {
			x.voidClaim(claim)
		}
		return err
	}
	return x.deliverStored(a)
}

// readBody reads the request body before the claim. Its digest is part of the
// claim, and a slow caller then holds neither a claim nor a slot.
func (x *exchange) readBody() error {
	x.buffered = true
	if x.upload == nil {
		return nil
	}
	var b bytes.Buffer
	if n := x.r.ContentLength; n > 0 {
		b.Grow(int(min(n, x.f.options.MaxBodyBytes)) + bytes.MinRead)
	}
	_, err := b.ReadFrom(x.upload)
	if long := new(http.MaxBytesError); errors.As(err, &long) {
		return classifier.TooLarge.New("the body exceeds the limit of %d bytes", x.f.options.MaxBodyBytes)
	}
	if err != nil {
		return classifier.BadRequest.Wrap(err, "request body")
	}
	x.body = b.Bytes()
	return nil
}

// voidClaim releases a claim after a request that certainly did not run.
func (x *exchange) voidClaim(c Claim) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.r.Context()), storeTimeout)
	defer cancel()
	x.f.options.Claims.Void(ctx, c)
}

// deliverStored reads the whole response and stores it before it writes it, so
// that a repeat gets the same. A response above MaxBodyBytes cannot be stored: the
// caller gets Truncated, and repeats get InDoubt.
func (x *exchange) deliverStored(a *attempt) (err error) {
	r := newReader(x, a)
	defer func() { r.a.finish(err) }()
	s := &StoredResponse{Status: a.resp.StatusCode, Header: make(http.Header)}
	stripper.CopyEndToEnd(s.Header, a.resp.Header, hostHeaders)
	if x.hasBody(a.resp) {
		if err := a.checkEnd(); err != nil {
			return err
		}
		var b bytes.Buffer
		if _, err := io.Copy(&b, io.LimitReader(r, x.f.options.MaxBodyBytes+1)); err != nil {
			return err
		}
		if int64(b.Len()) > x.f.options.MaxBodyBytes {
			return classifier.Truncated.New("the response exceeds the limit of %d bytes for stored responses", x.f.options.MaxBodyBytes)
		}
		s.Body = b.Bytes()
	}
	r.a.finish(nil)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.r.Context()), storeTimeout)
	defer cancel()
	// The request ran, so the caller gets the response even if it cannot be
	// stored. A repeat then gets InDoubt.
	_ = x.f.options.Claims.Finish(ctx, x.claim, s)
	return x.replay(s)
}

// replay writes a stored response.
func (x *exchange) replay(s *StoredResponse) error {
	return x.writeResponse(&http.Response{
		StatusCode: s.Status, Header: maps.Clone(s.Header), ProtoMajor: 1, ContentLength: int64(len(s.Body)),
	}, s.Body)
}
