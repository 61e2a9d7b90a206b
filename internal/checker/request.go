package checker

import "time"

// Sent is a request that a caller sent. Once says that it must not be repeated.
// An id is used for one request; a caller that repeats a request with the same
// Key uses a new id.
type Sent struct {
	At            time.Time
	ID            string
	Service       string
	ClientAccount string
	Key           string
	Once          bool
}

// Answered is the end of a request as its caller saw it.
type Answered struct {
	At time.Time
	ID string
	// Status is zero if no status line arrived.
	Status  int
	Outcome string
	// Echo is the Request-Id of the answer.
	Echo string
	// Digest is the digest of the received body, Want the digest that the body
	// has to have. An empty Want is not compared.
	Digest string
	Want   string
	// Broken says that the caller saw the answer end in error, so that it
	// can't take the part for the whole.
	Broken bool
}

// Ran is a request that began to run at an upstream.
type Ran struct {
	At       time.Time
	Upstream string
	ID       string
	Key      string
}

type request struct {
	at       time.Time
	sent     bool
	answered bool
	refused  bool
	once     bool
	scope    string
	key      string
	runs     []string
}

func (c *Checker) request(id string) *request {
	r := c.requests[id]
	if r == nil {
		r = new(request)
		c.requests[id] = r
	}
	return r
}

// Sent feeds a request that a caller sent.
func (c *Checker) Sent(s Sent) {
	r := c.request(s.ID)
	if r.sent {
		c.breach(Complete, s.At, "request id %s was used twice: the run can't be checked", s.ID)
	}
	r.at, r.sent, r.once, r.scope, r.key = s.At, true, s.Once, s.Service+"/"+s.ClientAccount, s.Key
}

// notRun is the outcome of a refusal that promises that nothing ran.
const notRun = "not-run"

// Answered feeds the end of a request as its caller saw it.
func (c *Checker) Answered(a Answered) {
	r := c.request(a.ID)
	if !r.sent || r.answered {
		c.breach(Complete, a.At, "an answer for request %s, which waits for none", a.ID)
		return
	}
	r.answered = true
	if a.Status != 0 && a.Echo != a.ID {
		c.breach(Complete, a.At, "request %s got the answer of request %q", a.ID, a.Echo)
	}
	if !a.Broken && a.Want != "" && a.Digest != a.Want {
		c.breach(Complete, a.At, "request %s got a body with digest %s instead of %s and was not told", a.ID, a.Digest, a.Want)
	}
	if a.Outcome == notRun {
		r.refused = true
		if len(r.runs) > 0 {
			c.breach(NotRun, a.At, "request %s was refused as not run with status %d, but ran at %v", a.ID, a.Status, r.runs)
		}
	}
}

// Ran feeds a request that began to run at an upstream.
func (c *Checker) Ran(n Ran) {
	r := c.request(n.ID)
	r.runs = append(r.runs, n.Upstream)
	if r.refused {
		c.breach(NotRun, n.At, "request %s ran at %s after it was refused as not run", n.ID, n.Upstream)
	}
	c.checkOnce(n, r)
	if since, ok := c.leaving[n.Upstream]; ok && n.At.Sub(since) > c.bounds.Leave {
		c.breach(Leaving, n.At, "upstream %s got request %s %v after it began to leave, the bound is %v", n.Upstream, n.ID, n.At.Sub(since), c.bounds.Leave)
	}
}

// checkOnce reports a second run of what must not be repeated. Without a key
// this is a second run of the same request.
func (c *Checker) checkOnce(n Ran, r *request) {
	key := n.Key
	if r.key != "" {
		key = r.key
	}
	switch {
	case key != "":
		key = r.scope + "/" + key
		if first, ok := c.keys[key]; ok {
			c.breach(Once, n.At, "idempotency key %s ran at %s and again at %s", key, first, n.Upstream)
			return
		}
		c.keys[key] = n.Upstream
	case r.once && len(r.runs) > 1:
		c.breach(Once, n.At, "request %s, which must not be repeated, ran at %v", n.ID, r.runs)
	}
}
