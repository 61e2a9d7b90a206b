package spreader

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
	"dandeliontrack.example/dandeliontrack/internal/process/holder"
	"dandeliontrack.example/dandeliontrack/internal/process/logger"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// Caller exchanges an envelope with another host.
type Caller interface {
	Call(ctx context.Context, address string, e *framer.Envelope) (*framer.Envelope, error)
}

// Refresher installs what the store has accepted.
type Refresher interface {
	Refresh(ctx context.Context) error
}

// Driver runs a Spreader: it keeps the time, makes the exchanges and reads the
// store. It is safe for concurrent use.
type Driver struct {
	name   string
	listen string
	caller Caller
	store  Refresher
	wake   chan struct{}
	log    logger.Logger

	mu         sync.Mutex
	machine    *Spreader
	neighbours []string
	failing    bool // the last read of the store failed
}

// NewDriver returns a Driver for the host with the name, whose peer listener
// has the address listen. It registers with the
// holder, so that versions installed by others are announced at once.
func NewDriver(name, listen string, h *holder.Holder, caller Caller, store Refresher, rng *rand.Rand) *Driver {
	d := &Driver{
		name: name, listen: listen, caller: caller, store: store,
		wake:    make(chan struct{}, 1),
		machine: New(h, rng, time.Now()),
	}
	h.OnInstall(func(*planner.Plan) { d.wakeUp() })
	return d
}

// UseLogger sets the log. It must be called before Run.
func (d *Driver) UseLogger(log logger.Logger) { d.log = log }

// polled logs the first failure of the store and its recovery.
func (d *Driver) polled(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.HandlePollResult(time.Now(), err)
	switch {
	case err != nil && !d.failing:
		d.log.Event(logger.StoreFailed).Err(err).Send()
	case err == nil && d.failing:
		d.log.Event(logger.StoreRecovered).Send()
	}
	d.failing = err != nil
}

func (d *Driver) wakeUp() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// SetPeers replaces the addresses of the neighbours and the number of members.
func (d *Driver) SetPeers(neighbours []string, members int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.neighbours = slices.Clone(neighbours)
	d.machine.SetPeers(neighbours, members)
	d.wakeUp()
}

// Ready reports whether the host has a version that it may serve.
func (d *Driver) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Ready()
}

// Handle answers a digest, notes or a pull of another host.
func (d *Driver) Handle(_ context.Context, e *framer.Envelope) (*framer.Envelope, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	reply, err := d.machine.HandleRequest(time.Now(), e)
	if reply != nil {
		reply.From, reply.Address = d.name, d.listen
	}
	d.wakeUp()
	return reply, err
}

// Run spreads versions until ctx ends, and waits for its exchanges.
func (d *Driver) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-d.wake:
		}
		d.mu.Lock()
		actions := d.machine.Tick(time.Now())
		next := d.machine.NextTick()
		d.mu.Unlock()
		d.start(ctx, &wg, actions)
		timer.Reset(time.Until(next))
	}
}

func (d *Driver) start(ctx context.Context, wg *sync.WaitGroup, actions []Action) {
	for _, a := range actions {
		wg.Go(func() { d.do(ctx, wg, a) })
	}
}

func (d *Driver) do(ctx context.Context, wg *sync.WaitGroup, a Action) {
	if a.Poll {
		err := d.store.Refresh(ctx)
		if ctx.Err() == nil {
			d.polled(err)
			d.wakeUp()
		}
		return
	}
	a.Request.From, a.Request.Address = d.name, d.listen
	reply, err := d.caller.Call(ctx, a.To, a.Request)
	d.mu.Lock()
	actions := d.machine.HandleResponse(time.Now(), a, reply, err)
	d.mu.Unlock()
	d.start(ctx, wg, actions)
	d.wakeUp()
}

// Entry fetches the note that made the version with the chain from the first
// neighbour that has it.
func (d *Driver) Entry(ctx context.Context, version uint64, chain planner.Chain) (holder.Entry, error) {
	d.mu.Lock()
	neighbours := d.neighbours
	d.mu.Unlock()
	request := &framer.Envelope{From: d.name, Address: d.listen, Body: &framer.Envelope_Pull{Pull: &framer.Pull{Version: version, Chain: chain[:], One: true}}}
	for _, address := range neighbours {
		reply, err := d.caller.Call(ctx, address, request)
		if err != nil || reply.GetNotes() == nil {
			continue
		}
		list, err := parse(reply.GetNotes())
		if err == nil && list[0].Version == version && list[0].Chain == chain {
			return list[0], nil
		}
	}
	return holder.Entry{}, classifier.NotFound.New("no neighbour has the note of version %d", version)
}
