package claimer

import (
	"context"
	"time"

	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// maxPendingBytes bounds the bodies in bytes that wait for the store. Beyond it an
// outcome is not kept for a retry, and its claim stays in doubt.
const maxPendingBytes = 16 << 20

// retryPeriod is how often Run retries writes that the store has not taken.
const retryPeriod = 2 * time.Second

// outcome is a response that the store does not have yet.
type outcome struct {
	claim    *Claim
	response *Response
}

// Finish stores the outcome of a dispatched request. It returns when the store
// has it, or after a second at the latest; then Run tries again, and the
// return value says that the outcome is not stored yet.
func (c *Claimer) Finish(ctx context.Context, claim *Claim, response *Response) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	o := &outcome{claim: claim, response: response}
	err := c.record(ctx, o)
	if err == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pendingBytes+len(response.body) > maxPendingBytes {
		return classifier.InDoubt.Wrap(err, "too many outcomes wait for the store")
	}
	c.pendingBytes += len(response.body)
	c.pending[claim.id] = o
	return err
}

// Void settles a claim whose request was certainly not dispatched, so that the
// key can be claimed anew. If the store fails, Run tries again.
func (c *Claimer) Void(ctx context.Context, claim *Claim) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	c.addUnused(claim)
	c.voidClaim(ctx, claim)
}

func (c *Claimer) addUnused(claim *Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unused[claim.id] = claim
}

// record writes the outcome. It is idempotent: a row that already has the
// outcome of the same claim is left as it is.
func (c *Claimer) record(ctx context.Context, o *outcome) error {
	r := &row{
		ID: o.claim.id, Fingerprint: o.claim.fingerprint, Host: c.host, State: stateDone, Time: time.Now().Unix(),
		Status: o.response.status, Header: o.response.header, Body: o.response.body,
	}
	if len(o.response.body) > maxInlineBodyBytes {
		r.Body, r.Object = nil, "answer/"+o.claim.id
		if err := c.store.Save(ctx, r.Object, o.response.body); err != nil {
			return err
		}
	}
	_, err := c.put(ctx, o.claim.key, o.claim.revision, r)
	if classifier.Of(err) != classifier.Conflict || err == nil {
		return err
	}
	// An earlier write whose response was lost looks like a conflict.
	current, _, readErr := c.read(ctx, o.claim.key)
	if readErr != nil {
		return readErr
	}
	if current != nil && current.ID == o.claim.id && current.State == stateDone {
		return nil
	}
	return err
}

// voidClaim makes the row of an unused claim void and removes the claim from
// unused once the store shows that it can't take effect any more.
func (c *Claimer) voidClaim(ctx context.Context, claim *Claim) {
	current, revision, err := c.read(ctx, claim.key)
	if err != nil {
		return
	}
	settled := current != nil && current.State != stateHeld && current.ID == claim.id ||
		current != nil && current.ID != claim.id && revision != claim.baseRevision
	if !settled {
		// Also written when the claim is not there, so that a delayed write of
		// it finds another revision and fails.
		void := &row{ID: claim.id, Fingerprint: claim.fingerprint, Host: c.host, State: stateVoid, Time: time.Now().Unix()}
		if _, err := c.put(ctx, claim.key, revision, void); err != nil {
			return
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.unused, claim.id)
}

// Run retries writes that failed in the store, every retryPeriod until ctx ends.
func (c *Claimer) Run(ctx context.Context) {
	ticker := time.NewTicker(retryPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.retryPending(ctx)
		}
	}
}

func (c *Claimer) retryPending(ctx context.Context) {
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
		c.removePending(o)
	}
	for _, claim := range claims {
		c.voidClaim(ctx, claim)
	}
}

func (c *Claimer) removePending(o *outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.pending[o.claim.id]; ok {
		c.pendingBytes -= len(o.response.body)
		delete(c.pending, o.claim.id)
	}
}

// PendingWrites returns how many claims and outcomes wait for the store. Shutdown
// waits for them, because they are lost with the process.
func (c *Claimer) PendingWrites() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.unused) + len(c.pending)
}
