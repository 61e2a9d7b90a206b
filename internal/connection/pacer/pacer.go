// Package pacer holds traffic on the links between regions, and writes to the
// store, to this host's part of their rates. Bytes are read from an upstream only when the link's token
// bucket holds them, so that a full link pushes back on the upstream instead of
// filling memory.
//
// Traffic has two kinds: look-ups and once-requests have 20% of the rate,
// downloads the rest, and what one kind leaves unused the other may take.
// golang.org/x/time/rate doesn't fit links: its limiters can't pass unused
// tokens to each other. It does fit writes to the store.
package pacer

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/process/allotter"
	"dandeliontrack.example/dandeliontrack/internal/process/lender"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
)

const (
	// Chunk is the most that a Reader reads at a time, in bytes.
	Chunk = 64 << 10
	// quick is the part of a rate, in percent, for look-ups and once-requests.
	quick = 20
	// burst is how much of the rate a bucket holds. It bounds by how much all
	// hosts together may pass the link's rate for a moment.
	burst = 20 * time.Millisecond
	// least is the smallest bucket in bytes, so that a small rate still moves
	// whole packets.
	least = 4 << 10
	// patience bounds one sleep, because the rate may change meanwhile.
	patience = 100 * time.Millisecond
)

// Pacer holds the buckets of one host. It is safe for concurrent use. The zero
// Pacer has no rate on any link.
type Pacer struct {
	buckets atomic.Pointer[map[string]*bucket]
	mu      sync.Mutex // installs
	store   store
}

// kind selects the bucket half of a class.
type kind int

const (
	quickly kind = iota
	bulk
	kinds
)

func kindOf(class planner.Class) kind {
	if class == planner.Download {
		return bulk
	}
	return quickly
}

// bucket is one direction of one link.
type bucket struct {
	mu       sync.Mutex
	from     string // region whose ledger the link belongs to
	units    allotter.Units
	own      int64
	until    time.Time
	loans    []lender.Held
	lent     int64
	reserved int64
	last     time.Time
	tokens   [kinds]float64
	second   time.Time // start of the second that count is for
	count    int64
	past     int64 // bytes in the second before
}

// Install puts the rates in force that the rights give on the plan's links.
// Reservations, loans given and tokens carry over by the name of the link.
func (p *Pacer) Install(plan *planner.Plan, rights allotter.Rights) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[string]*bucket, len(plan.Links()))
	for _, l := range plan.Links() {
		b := p.bucket(l.Name())
		if b == nil {
			b = new(bucket)
		}
		next[l.Name()] = b
		var loans []lender.Held
		for _, h := range rights.Loans {
			if h.Limit == allotter.LinkLimit(l.Name()) {
				loans = append(loans, h)
			}
		}
		right := rights.Regions[l.From().Name()]
		b.mu.Lock()
		b.refill(time.Now())
		b.from, b.units = l.From().Name(), allotter.Link(l.Rate())
		b.own, b.until, b.loans = b.units.In(right.Shares), right.Until, loans
		b.mu.Unlock()
	}
	p.buckets.Store(&next)
	p.store.install(rights)
}

func (p *Pacer) bucket(link string) *bucket {
	m := p.buckets.Load()
	if m == nil {
		return nil
	}
	return (*m)[link]
}

// rate returns the bytes per second at the time.
func (b *bucket) rate(now time.Time) int64 {
	r := int64(0)
	if now.Before(b.until) {
		r = max(b.own-b.lent, 0)
	}
	for _, l := range b.loans {
		if now.Before(l.Until) {
			r += l.Units
		}
	}
	return r
}

// split returns the part of the rate for each kind.
func split(rate int64) [kinds]float64 {
	q := float64(rate) * quick / 100
	return [kinds]float64{q, float64(rate) - q}
}

func depth(rate float64) float64 { return max(rate*burst.Seconds(), least) }

// refill adds the tokens since the last refill. What one half can't hold goes to
// the other.
func (b *bucket) refill(now time.Time) {
	// The rate at the end of the span counts for all of it, so nothing is added
	// on a right that has ended.
	rate := b.rate(now)
	passed := now.Sub(b.last).Seconds()
	if b.last.IsZero() || passed < 0 {
		passed = 0
	}
	b.last = now
	if rate == 0 {
		b.tokens = [kinds]float64{}
		return
	}
	var spill [kinds]float64
	parts := split(rate)
	for k, part := range parts {
		b.tokens[k] += part * passed
		if over := b.tokens[k] - depth(part); over > 0 {
			b.tokens[k] -= over
			spill[k] = over
		}
	}
	for k, part := range parts {
		b.tokens[k] = min(b.tokens[k]+spill[1-k], depth(part))
	}
}

// take takes up to n tokens, at least a full bucket half or n, or returns how
// long to wait for them.
func (b *bucket) take(now time.Time, k kind, n int) (int, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	rate := b.rate(now)
	if rate == 0 {
		return 0, patience
	}
	part := split(rate)[k]
	want := min(float64(n), float64(int(depth(part))))
	if b.tokens[k] < want {
		wait := time.Duration((want - b.tokens[k]) / part * float64(time.Second))
		return 0, min(max(wait, time.Microsecond), patience)
	}
	b.tokens[k] -= want
	b.tally(now, int64(want))
	return int(want), 0
}

// refund puts tokens back that were not used.
func (b *bucket) refund(now time.Time, k kind, n int) {
	if n <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens[k] = min(b.tokens[k]+float64(n), depth(split(b.rate(now))[k]))
	b.count -= int64(n)
}

func (b *bucket) tally(now time.Time, n int64) {
	if d := now.Sub(b.second); d >= time.Second {
		b.past = 0
		if d < 2*time.Second {
			b.past = b.count
		}
		b.count, b.second = 0, now
	}
	b.count += n
}

// Reserve admits a download with this least rate on the link, or reports that
// the reservations would exceed what downloads have. A nil link costs nothing.
// Release must be called when the last byte has passed; more calls do nothing.
func (p *Pacer) Reserve(link *planner.Link, bytesPerSecond int64) (release func(), ok bool) {
	if link == nil {
		return func() {}, true
	}
	b := p.bucket(link.Name())
	if b == nil || bytesPerSecond < 0 {
		return nil, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if float64(b.reserved+bytesPerSecond) > split(b.rate(time.Now()))[bulk] {
		return nil, false
	}
	b.reserved += bytesPerSecond
	return sync.OnceFunc(func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.reserved -= bytesPerSecond
	}), true
}

// Reader returns a reader that reads from r no faster than the link allows. It
// ends with the context's error while it waits. A nil link returns r itself.
func (p *Pacer) Reader(ctx context.Context, link *planner.Link, class planner.Class, r io.Reader) io.Reader {
	if link == nil {
		return r
	}
	return &reader{ctx: ctx, pacer: p, link: link.Name(), kind: kindOf(class), r: r}
}

type reader struct {
	ctx   context.Context
	pacer *Pacer
	link  string
	kind  kind
	r     io.Reader
	timer *time.Timer
	size  int // tokens to ask for; it follows what the reads bring
}

// Read waits for tokens first, so that no byte is taken from the upstream that
// the link can't carry yet. It asks for few at first: a short answer or a slow
// upstream would otherwise keep a whole chunk of tokens from other readers
// until its read returns.
func (r *reader) Read(buf []byte) (int, error) {
	if len(buf) == 0 {
		return 0, nil
	}
	buf = buf[:min(len(buf), max(r.size, least))]
	for {
		b, n, wait := r.pacer.bucket(r.link), 0, patience
		if b != nil {
			n, wait = b.take(time.Now(), r.kind, len(buf))
		}
		if n > 0 {
			got, err := r.r.Read(buf[:n])
			b.refund(time.Now(), r.kind, n-got)
			if r.size = got; got == n {
				r.size = min(2*got, Chunk)
			}
			return got, err
		}
		if err := r.sleep(wait); err != nil {
			return 0, err
		}
	}
}

func (r *reader) sleep(d time.Duration) error {
	if r.timer == nil {
		r.timer = time.NewTimer(d)
	} else {
		r.timer.Reset(d)
	}
	select {
	case <-r.timer.C:
		return nil
	case <-r.ctx.Done():
		r.timer.Stop()
		return r.ctx.Err()
	}
}

// Idle returns the bytes per second of the limit that may be lent: what neither
// reservations nor the traffic of the last second use.
func (p *Pacer) Idle(link string) int64 {
	b := p.bucket(link)
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.idle(time.Now())
}

func (b *bucket) idle(now time.Time) int64 {
	if !now.Before(b.until) {
		return 0
	}
	b.tally(now, 0)
	own := max(b.own-b.lent, 0)
	return max(int64(split(own)[bulk])-max(b.reserved, b.past, b.count), 0)
}

// Lend lowers this host's rate on the link by what it lends, all or none. It
// comes before lender.Lend, as Admitter.Lend does.
func (p *Pacer) Lend(link string, bytesPerSecond int64) bool {
	b := p.bucket(link)
	if b == nil || bytesPerSecond <= 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if bytesPerSecond > b.idle(now) {
		return false
	}
	b.refill(now)
	b.lent += bytesPerSecond
	return true
}

// Regain sets the rate that is still lent, as lender.Lent tells. It never raises
// it.
func (p *Pacer) Regain(link string, lent int64) {
	b := p.bucket(link)
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(time.Now())
	b.lent = min(b.lent, max(lent, 0))
}

// Used returns the shares of the region's ledger row that loans of link rate
// need beyond the shares in keep: none if they fit into keep, else all. The
// caller joins it with Admitter.Used. Reservations need no shares, because
// their traffic follows the rate.
func (p *Pacer) Used(region string, keep allotter.Set) allotter.Set {
	m := p.buckets.Load()
	if m == nil {
		return 0
	}
	for _, b := range *m {
		b.mu.Lock()
		over := b.from == region && b.lent > b.units.In(keep)
		b.mu.Unlock()
		if over {
			return allotter.All
		}
	}
	return 0
}

// Figure describes the link's limit at this host, in bytes per second. Used is
// the traffic of the last full second or the reservations, if they are more.
func (p *Pacer) Figure(link *planner.Link) allotter.Figure {
	b := p.bucket(link.Name())
	if b == nil {
		return allotter.Figure{Name: allotter.LinkLimit(link.Name())}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.tally(now, 0)
	f := allotter.Figure{
		Name: allotter.LinkLimit(link.Name()), Total: b.units.Total(), Held: b.rate(now),
		Used: max(b.past, b.reserved), Lent: b.lent,
	}
	for _, l := range b.loans {
		if now.Before(l.Until) {
			f.Borrowed += l.Units
		}
	}
	return f
}
