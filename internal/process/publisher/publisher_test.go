package publisher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/adapter"
	"dandeliontrack.example/dandeliontrack/internal/process/holder"
	"dandeliontrack.example/dandeliontrack/internal/process/snapshotter"
	"dandeliontrack.example/dandeliontrack/internal/standin/platformer"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

const storeTimeout = 2 * time.Second

var errInjected = errors.New("injected fault")

// faultTransport is a transport that passes each request, with its number, to a
// fault.
type faultTransport struct {
	next  http.RoundTripper
	count int
	fault func(n int, do func() (*http.Response, error)) (*http.Response, error)
}

func (f *faultTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	n := f.count
	f.count++
	do := func() (*http.Response, error) {
		again := req.Clone(context.WithoutCancel(req.Context()))
		return f.next.RoundTrip(again)
	}
	if f.fault == nil {
		return do()
	}
	return f.fault(n, do)
}

// host is a publishing host. Field reverts counts installations that did not
// increase the version.
type host struct {
	*Publisher
	h       *holder.Holder
	store   *adapter.Adapter
	reverts int
}

func newHost(rt http.RoundTripper) *host {
	x := &host{h: new(holder.Holder), store: adapter.New("http://p", "http://p", "http://p", storeTimeout, rt)}
	x.Publisher = New(x.store, x.h)
	x.UseSnapshots(snapshotter.New(x.store))
	last := uint64(0)
	x.h.OnInstall(func(p *planner.Plan) {
		if p.Version() <= last {
			x.reverts++
		}
		last = p.Version()
	})
	return x
}

func note(id string, base uint64, accounts ...string) *noter.Note {
	n := &noter.Note{ID: id, Base: base}
	for _, c := range accounts {
		n.Added.ClientAccounts = append(n.Added.ClientAccounts, noter.ClientAccount{Name: c, Hold: "stay"})
	}
	return n
}

// history returns the ids of all accepted notes, read by a new host.
func history(t *testing.T, p *platformer.Platformer) []string {
	t.Helper()
	x := newHost(p)
	x.snapshots = nil
	assert.NilError(t, x.Refresh(t.Context()))
	var ids []string
	for v := uint64(1); v <= x.h.Plan().Version(); v++ {
		e, ok := x.h.Entry(v)
		assert.Assert(t, ok)
		n, err := noter.Decode(e.Note)
		assert.NilError(t, err)
		ids = append(ids, n.ID)
	}
	return ids
}

// fault handles request number n; calling do sends the request.
type fault = func(n int, do func() (*http.Response, error)) (*http.Response, error)

// dropResponse sends the request and discards its response.
func dropResponse(do func() (*http.Response, error)) (*http.Response, error) {
	if resp, err := do(); err == nil {
		resp.Body.Close()
	}
	return nil, errInjected
}

// faultFromStep returns a fault that applies first to request number step and, if
// not nil, later to the requests after it.
func faultFromStep(step int, first, later func(do func() (*http.Response, error)) (*http.Response, error)) fault {
	return func(n int, do func() (*http.Response, error)) (*http.Response, error) {
		switch {
		case n == step:
			return first(do)
		case n > step && later != nil:
			return later(do)
		default:
			return do()
		}
	}
}

// faults returns the faults that request number step is tested with. Function
// rival publishes another note through another host.
func faults(step int, rival func()) map[string]fault {
	fail := func(func() (*http.Response, error)) (*http.Response, error) { return nil, errInjected }
	return map[string]fault{
		"fails once":                       faultFromStep(step, fail, nil),
		"response lost":                    faultFromStep(step, dropResponse, nil),
		"store down, or host stops before": faultFromStep(step, fail, fail),
		"host stops after":                 faultFromStep(step, dropResponse, fail),
		"rival before": faultFromStep(step, func(do func() (*http.Response, error)) (*http.Response, error) {
			rival()
			return do()
		}, nil),
		"rival after, response lost": faultFromStep(step, func(do func() (*http.Response, error)) (*http.Response, error) {
			_, err := dropResponse(do)
			rival()
			return nil, err
		}, nil),
		"slow, takes effect after the timeout": faultFromStep(step, func(do func() (*http.Response, error)) (*http.Response, error) {
			go func() {
				time.Sleep(20 * time.Second)
				_, _ = dropResponse(do)
			}()
			time.Sleep(storeTimeout)
			return nil, errInjected
		}, nil),
	}
}

// Guards against a publication that is lost, accepted twice, accepted although
// the error says that nothing was accepted, or accepted on the same base as
// another one, when any single request to the store fails.
func TestEveryStepAndFault(t *testing.T) {
	const steps = 6 // head, claims, note, claim, head write, one request of a read-back
	for step := range steps {
		for name := range faults(0, nil) {
			for _, wait := range []time.Duration{0, time.Minute} {
				t.Run(fmt.Sprintf("step %d/%s/repeated after %v", step, name, wait), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { runFault(t, step, name, wait) })
				})
			}
		}
	}
}

func runFault(t *testing.T, step int, name string, wait time.Duration) {
	p := new(platformer.Platformer)
	other := newHost(p)
	_, err := other.Publish(t.Context(), note("first", 0, "a"))
	assert.NilError(t, err)
	var rivalErr error
	rivalRan := false
	f := &faultTransport{next: p}
	x := newHost(f)
	assert.NilError(t, x.Refresh(t.Context()))
	f.count = 0
	f.fault = faults(step, func() {
		rivalRan = true
		_, rivalErr = other.Publish(t.Context(), note("rival", 1, "b", "c"))
	})[name]
	if step == 5 {
		// The read-back happens only after the response to the head write
		// was lost.
		inner := f.fault
		f.fault = func(n int, do func() (*http.Response, error)) (*http.Response, error) {
			resp, err := inner(n, do)
			if n == 4 && err == nil {
				resp.Body.Close()
				return nil, errInjected
			}
			return resp, err
		}
	}
	mine := note("mine", 1, "b")
	_, err = x.Publish(t.Context(), mine)
	won := err == nil
	accepted := strings.Contains(strings.Join(history(t, p), " "), "mine")
	if won {
		assert.Assert(t, accepted)
	} else if kind := classifier.Of(err); kind != classifier.Unconfirmed {
		assert.Assert(t, kind == classifier.StoreDown || kind == classifier.Conflict, "%v", err)
		assert.Assert(t, !accepted, "accepted although reported as not accepted: %v", err)
	}
	time.Sleep(wait)
	// The operator publishes the same note again through a third host.
	third := newHost(p)
	again, err := third.Publish(t.Context(), mine)
	time.Sleep(time.Minute)
	ids := history(t, p)
	assert.Equal(t, len(ids), 2, "%v", ids)
	if ids[1] == "mine" {
		assert.NilError(t, err)
		assert.Equal(t, again.Version(), uint64(2))
		assert.Equal(t, rivalRan, rivalErr != nil)
	} else {
		assert.Assert(t, !won)
		assert.NilError(t, rivalErr)
		assert.Equal(t, classifier.Of(err), classifier.Conflict)
		assert.ErrorContains(t, err, `publication "rival" was accepted as version 2; both touch customer "b"`)
	}
	f.fault = nil
	assert.NilError(t, other.Refresh(t.Context()))
	for _, h := range []*host{x, other, third} {
		assert.NilError(t, h.Refresh(t.Context()))
		assert.Equal(t, h.h.Plan().Chain(), other.h.Plan().Chain())
		assert.Equal(t, h.reverts, 0)
	}
}

// hideClaims returns an empty list for every list of claims, as if publications
// wrote none.
type hideClaims struct{ next http.RoundTripper }

func (h hideClaims) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := h.next.RoundTrip(req)
	if err == nil && strings.HasPrefix(req.URL.Query().Get("prefix"), "publication/") {
		resp.Body = io.NopCloser(strings.NewReader("[]"))
	}
	return resp, err
}

// Guards against an id that is accepted a second time many versions after its
// first use. Without the claims, the second use is accepted.
func TestReusedIDIsRejected(t *testing.T) {
	p := new(platformer.Platformer)
	x := newHost(p)
	first, err := x.Publish(t.Context(), note("id", 0, "a"))
	assert.NilError(t, err)
	base := uint64(1)
	for ; base < 1100; base++ {
		n := note(fmt.Sprint("n", base), base, fmt.Sprint("c", base))
		next, err := x.Publish(t.Context(), n)
		assert.NilError(t, err)
		if snapshotter.Due(base, next.Version()) {
			assert.NilError(t, snapshotter.New(x.store).Save(t.Context(), x.h.Plan()))
		}
	}
	for name, h := range map[string]*host{"the same host": x, "a new host": newHost(p)} {
		before := p.Reads()
		again, err := h.Publish(t.Context(), note("id", 0, "a"))
		assert.NilError(t, err, name)
		assert.Equal(t, *again, *first)
		_, err = h.Publish(t.Context(), note("id", base, "z"))
		assert.Equal(t, classifier.Of(err), classifier.KeyReused, "%s: %v", name, err)
		// The number of reads must not grow with the length of the history.
		assert.Assert(t, p.Reads()-before < 3*snapshotter.VersionsPerSnapshot, "%s: %d reads", name, p.Reads()-before)
	}
	_, err = newHost(hideClaims{p}).Publish(t.Context(), note("id", base, "z"))
	assert.NilError(t, err, "without claims the id is accepted again")
}

// Guards against installing a note whose copy in the store is damaged, and
// against a host that cannot catch up because of a damaged or missing copy
// although a peer or a snapshot has the content.
func TestDamagedNoteIsRepaired(t *testing.T) {
	p := new(platformer.Platformer)
	good := newHost(p)
	for i := range uint64(10) {
		_, err := good.Publish(t.Context(), note(fmt.Sprint(i), i, fmt.Sprint("c", i)))
		assert.NilError(t, err)
	}
	damaged, _ := good.h.Entry(5)
	key := noteKey(5, damaged.Chain)
	assert.NilError(t, good.store.Save(t.Context(), key, append(encodeNoteObject(damaged), ' ')))
	alone := newHost(p)
	err := alone.Refresh(t.Context())
	assert.Equal(t, classifier.Of(err), classifier.StoreDown, "%v", err)
	assert.Equal(t, alone.h.Plan().Version(), uint64(0))
	helped := newHost(p)
	helped.UsePeers(peerOf{good.h})
	assert.NilError(t, helped.Refresh(t.Context()))
	assert.Equal(t, helped.h.Plan().Chain(), good.h.Plan().Chain())
	assert.NilError(t, alone.Refresh(t.Context()), "the copy in the store was repaired")

	assert.NilError(t, good.store.Remove(t.Context(), key))
	assert.NilError(t, snapshotter.New(good.store).Save(t.Context(), good.h.Plan()))
	late := newHost(p)
	assert.NilError(t, late.Refresh(t.Context()))
	assert.Equal(t, late.h.Plan().Chain(), good.h.Plan().Chain())
}

type peerOf struct{ h *holder.Holder }

func (p peerOf) Entry(_ context.Context, version uint64, _ planner.Chain) (holder.Entry, error) {
	e, _ := p.h.Entry(version)
	return e, nil
}

// Guards against a host whose history differs from that in the store and that
// never returns to the history of the store, or installs a lower version to do so.
func TestForkedHostRejoinsWithoutDowngrade(t *testing.T) {
	p, wrong := new(platformer.Platformer), new(platformer.Platformer)
	x, good := newHost(wrong), newHost(p)
	for i := range uint64(2) {
		_, err := x.Publish(t.Context(), note(fmt.Sprint("w", i), i, fmt.Sprint("w", i)))
		assert.NilError(t, err)
	}
	x.store = adapter.New("http://p", "http://p", "http://p", storeTimeout, p)
	x.Publisher.store = x.store
	for i := range uint64(3) {
		_, err := good.Publish(t.Context(), note(fmt.Sprint(i), i, fmt.Sprint("c", i)))
		assert.NilError(t, err)
		err = x.Refresh(t.Context())
		assert.Equal(t, err == nil, i == 2, "%v", err)
	}
	assert.Equal(t, x.h.Plan().Chain(), good.h.Plan().Chain())
	assert.Equal(t, x.reverts, 0)
}

// Guards against a slow read of the store that installs an older version after a
// peer has delivered a newer one. The check in Holder.Install prevents it.
func TestSlowRefreshKeepsNewerVersion(t *testing.T) {
	p := new(platformer.Platformer)
	other := newHost(p)
	publish := func(base uint64) {
		_, err := other.Publish(t.Context(), note(fmt.Sprint("n", base), base, fmt.Sprint("c", base)))
		assert.NilError(t, err)
	}
	publish(0)
	f := &faultTransport{next: p}
	x := newHost(f)
	f.fault = faultFromStep(1, func(do func() (*http.Response, error)) (*http.Response, error) {
		publish(1)
		assert.NilError(t, x.h.Install(other.h.Plan()))
		return do()
	}, nil)
	assert.NilError(t, x.Refresh(t.Context()))
	assert.Equal(t, x.h.Plan().Version(), uint64(2))
	assert.Equal(t, x.reverts, 0)
}
