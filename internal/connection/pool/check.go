package pool

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"
)

// maxHealth bounds the body of an answer to GET /health.
const maxHealth = 4 << 10

// check tests a connection that was idle for long or that is under suspicion.
// It closes one that fails.
func (g *group) check(ctx context.Context, l *Link) bool {
	g.mu.Lock()
	fresh := l.epoch == g.epoch && g.now()-l.since <= stale
	g.mu.Unlock()
	if fresh {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, checkTime)
	defer cancel()
	if err := l.health(ctx); err != nil {
		l.Close()
		g.suspect()
		return false
	}
	g.mu.Lock()
	l.epoch = g.epoch
	g.mu.Unlock()
	return true
}

// suspect makes all connections of the group be checked before their next use.
func (g *group) suspect() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.epoch++
}

// health sends GET /health. Any complete answer shows that the connection works.
func (l *Link) health(ctx context.Context) error {
	req := &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Scheme: "http", Host: l.group.address, Path: "/health"},
		Header: make(http.Header),
	}
	resp, err := l.roundTrip(req.WithContext(ctx))
	if err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxHealth+1))
	if err != nil {
		return err
	}
	if n > maxHealth {
		return http.ErrContentLength
	}
	if err := resp.Body.Close(); err != nil {
		return err
	}
	return l.client.Err()
}

// sweep closes dead and long idle connections, reports stalled answers, and
// starts a probe if a connection in use carries nothing.
func (g *group) sweep() {
	g.mu.Lock()
	now := g.now()
	removed := g.idle.keep(func(l *Link) bool { return l.client.Err() == nil && now-l.since <= idleTime })
	var stalled []Watcher
	probe := false
	for _, l := range g.busy {
		quiet := l.silentFor(now)
		if !l.told && quiet >= l.quiet {
			probe = true
		}
		if l.stall > 0 && quiet >= l.stall && l.watcher != nil {
			stalled = append(stalled, l.watcher)
			l.stall = 0
		}
	}
	if probe {
		removed = append(removed, g.startProbe(now)...)
	}
	g.forget()
	g.mu.Unlock()
	closeAll(removed)
	for _, w := range stalled {
		w.Stalled()
	}
}

// startProbe starts a probe unless one runs or ran just now. Without room for
// its connection it returns an idle one to close, and the next sweep tries again.
// Called with mu held.
func (g *group) startProbe(now time.Duration) []*Link {
	if g.probing || now < g.probed || g.pool.closed.Load() {
		return nil
	}
	if g.open >= g.limit {
		if l, ok := g.idle.oldest(); ok {
			return []*Link{l}
		}
		return nil
	}
	g.probing = true
	g.open++
	g.pool.tasks.Go(g.probe)
	return nil
}

// silentFor returns how long the connection has carried no byte although some
// are expected.
func (l *Link) silentFor(now time.Duration) time.Duration {
	if !l.conn.blocked.Load() || l.waiting.Load() {
		return 0
	}
	return now - time.Duration(l.conn.moved.Load())
}

// probe asks the upstream on a new connection. An answer makes connections that
// still carry nothing silent; none makes the upstream dead and says nothing
// about them.
func (g *group) probe() {
	ctx, cancel := context.WithTimeout(g.pool.ctx, checkTime)
	defer cancel()
	l, err := g.connect(ctx, func() bool { return true })
	if err == nil {
		err = l.health(ctx)
	}
	if err != nil {
		g.mu.Lock()
		g.probing = false
		g.probed = g.now() + checkTime/2 + rand.N(checkTime)
		if l == nil {
			g.open--
		}
		g.mu.Unlock()
		if l != nil {
			l.Close()
		}
		if g.pool.ctx.Err() == nil {
			g.pool.options.Events.Dead(g.address, err)
		}
		return
	}
	silent := g.judge(l)
	for _, w := range silent {
		if w != nil {
			w.Silent()
		}
	}
	if len(silent) > 0 {
		g.pool.options.Events.Silent(g.address, len(silent))
	}
}

// judge marks the silent connections and makes the probe's one available.
func (g *group) judge(l *Link) (silent []Watcher) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.probing = false
	now := g.now()
	g.probed = now + probeGap
	for _, b := range g.busy {
		if !b.told && b.silentFor(now) >= b.quiet {
			b.told, b.suspect = true, true
			silent = append(silent, b.watcher)
		}
	}
	if len(silent) > 0 {
		g.epoch++
	}
	l.epoch = g.epoch
	g.offer(l)
	return silent
}
