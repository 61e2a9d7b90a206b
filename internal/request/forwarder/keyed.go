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

// storeTime bounds what is done at the store after the request has run or was
// given up. It does not depend on the request's deadline, which may be over.
const storeTime = 2 * time.Second

// serveKeyed runs a request with an idempotency key: claim, dispatch once, store
// the answer, answer.
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
		x.steps.AddStep(time.Now(), recorder.Claimed, nil, nil, "the key has a stored answer")
		return x.replay(stored)
	}
	if x.gone() {
		x.void(claim)
		return errGone
	}
	x.claim = claim
	x.steps.AddStep(time.Now(), recorder.Claimed, nil, nil, claim.ID())
	a, err := x.fetch()
	if err != nil {
		if !x.sent || classifier.Of(err) == classifier.Shed {
			x.void(claim)
		}
		return err
	}
	return x.deliverStored(a)
}

// readBody reads the request body before the claim. Its digest is part of the
// claim, and a slow caller then holds neither a claim nor a unit.
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
		return classifier.TooLarge.New("the body exceeds the bound of %d bytes", x.f.options.MaxBodyBytes)
	}
	if err != nil {
		return classifier.BadRequest.Wrap(err, "request body")
	}
	x.whole = b.Bytes()
	return nil
}

// void gives a claim up after a request that provably did not run.
func (x *exchange) void(c Claim) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.r.Context()), storeTime)
	defer cancel()
	x.f.options.Claims.Void(ctx, c)
}

// deliverStored reads the whole answer, stores it and only then answers, so that
// a repeat gets the same. An answer above the bound cannot be stored; the caller
// is told that it was truncated, and repeats that they are in doubt.
func (x *exchange) deliverStored(a *attempt) (err error) {
	r := newReader(x, a)
	defer func() { r.a.finish(err) }()
	s := &StoredResponse{Status: a.resp.StatusCode, Header: make(http.Header)}
	stripper.CopyEndToEnd(s.Header, a.resp.Header, said)
	if x.hasBody(a.resp) {
		if unending(a.resp) && a.resp.Header["Repr-Digest"] == nil {
			return classifier.Truncated.New("the answer of upstream %s has no length, so its end cannot be checked", a.up.Name())
		}
		var b bytes.Buffer
		if _, err := io.Copy(&b, io.LimitReader(r, x.f.options.MaxBodyBytes+1)); err != nil {
			return err
		}
		if int64(b.Len()) > x.f.options.MaxBodyBytes {
			return classifier.Truncated.New("the answer exceeds the bound of %d bytes for answers that are stored", x.f.options.MaxBodyBytes)
		}
		s.Body = b.Bytes()
	}
	r.a.finish(nil)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.r.Context()), storeTime)
	defer cancel()
	// The request ran, and its caller gets the answer even if it cannot be
	// stored. A repeat is then in doubt.
	_ = x.f.options.Claims.Finish(ctx, x.claim, s)
	return x.replay(s)
}

// replay answers with a stored answer.
func (x *exchange) replay(s *StoredResponse) error {
	return x.write(&http.Response{
		StatusCode: s.Status, Header: maps.Clone(s.Header), ProtoMajor: 1, ContentLength: int64(len(s.Body)),
	}, s.Body)
}
