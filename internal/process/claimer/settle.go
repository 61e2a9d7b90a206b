package claimer

import (
	"context"
	"time"

	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// maxPending bounds the bodies in bytes that wait for the store. Beyond it an
// outcome is kept without waiting for a retry, and its claim stays in doubt.
const maxPending = 16 << 20

// retryPeriod is how often Run tries the store again for what is not settled.
const retryPeriod = 2 * time.Second

// outcome is an answer that the store does not have yet.
type outcome struct {
	claim  *Claim
	answer *Response
}

// Finish stores the outcome of a dispatched request. It returns when the store
// has it, or after a second at the latest; then Run tries again, and the
// return value says that the outcome is not stored yet.
func (c *Claimer) Finish(ctx context.Context, claim *Claim, answer *Response) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordWait)
	defer cancel()
	o := &outcome{claim: claim, answer: answer}
	err := c.record(ctx, o)
	if err == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bytes+len(answer.body) > maxPending {
		return classifier.InDoubt.Wrap(err, "too many outcomes wait for the store")
	}
	c.bytes += len(answer.body)
	c.pending[claim.id] = o
	return err
}

// Void settles a claim whose request was certainly not dispatched, so that the
// key can be claimed anew. If the store fails, Run tries again.
func (c *Claimer) Void(ctx context.Context, claim *Claim) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordWait)
	defer cancel()
	c.abandon(claim)
	c.voidOne(ctx, claim)
}

func (c *Claimer) abandon(claim *Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unused[claim.id] = claim
}

// record writes the outcome. It is idempotent: a row that already has the
// outcome of the same claim is left as it is.
func (c *Claimer) record(ctx context.Context, o *outcome) error {
	r := &row{
		ID: o.claim.id, Print: o.claim.print, Host: c.host, State: stateDone, Time: time.Now().Unix(),
		Status: o.answer.status, Header: o.answer.header, Body: o.answer.body,
	}
	if len(o.answer.body) > maxInline {
		r.Body, r.Object = nil, "answer/"+o.claim.id
		if err := c.store.Save(ctx, r.Object, o.answer.body); err != nil {
			return err
		}
	}
	_, err := c.put(ctx, o.claim.key, o.claim.revision, r)
	if classifier.Of(err) != classifier.Conflict || err == nil {
		return err
	}
	// A lost answer to an earlier write looks like a conflict.
	current, _, readErr := c.read(ctx, o.claim.key)
	if readErr != nil {
		return readErr
	}
	if current != nil && current.ID == o.claim.id && current.State == stateDone {
		return nil
	}
	return err
}

// voidOne makes the row of an unused claim void and forgets the claim when the
// store shows that it can't take effect any more.
func (c *Claimer) voidOne(ctx context.Context, claim *Claim) {
	current, revision, err := c.read(ctx, claim.key)
	if err != nil {
		return
	}
	settled := current != nil && current.State != stateHeld && current.ID == claim.id ||
		current != nil && current.ID != claim.id && revision != claim.base
	if !settled {
		// Also written when the claim is not there, so that a delayed write of
		// it finds another revision and fails.
		void := &row{ID: claim.id, Print: claim.print, Host: c.host, State: stateVoid, Time: time.Now().Unix()}
		if _, err := c.put(ctx, claim.key, revision, void); err != nil {
			return
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.unused, claim.id)
}

// Run settles in the background what the store could not take, until ctx ends.
func (c *Claimer) Run(ctx context.Context) {
	ticker := time.NewTicker(retryPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.settle(ctx)
		}
	}
}

func (c *Claimer) settle(ctx context.Context) {
	c.mu.Lock()
	var claims []*Claim
	for _, claim := range c.unused {
		claims = append(claims, claim)
	}
	var outcomes []*outcome
	for _, o := range c.pending {
		outcomes = append(outcomes, o)
	}
	c.mu.Unlock()
	for _, o := range outcomes {
		if err := c.record(ctx, o); err != nil && classifier.Of(err) != classifier.Conflict {
			continue
		}
		c.forget(o)
	}
	for _, claim := range claims {
		c.voidOne(ctx, claim)
	}
}

func (c *Claimer) forget(o *outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.pending[o.claim.id]; ok {
		c.bytes -= len(o.answer.body)
		delete(c.pending, o.claim.id)
	}
}

// PendingWrites returns how many claims and outcomes wait for the store. A stop
// waits for them, because they are lost with the process.
func (c *Claimer) PendingWrites() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.unused) + len(c.pending)
}
