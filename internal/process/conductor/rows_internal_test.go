package conductor

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
	"dandeliontrack.example/dandeliontrack/internal/process/follower"
	"dandeliontrack.example/dandeliontrack/internal/process/gossiper"
	"dandeliontrack.example/dandeliontrack/internal/process/logger"
	"dandeliontrack.example/dandeliontrack/internal/process/meter"
	"dandeliontrack.example/dandeliontrack/internal/process/recoverer"
	"dandeliontrack.example/dandeliontrack/internal/process/registrar"
	"dandeliontrack.example/dandeliontrack/internal/process/sequencer"
	"dandeliontrack.example/dandeliontrack/internal/process/surveyor"
	"dandeliontrack.example/dandeliontrack/internal/process/throttler"
	"dandeliontrack.example/dandeliontrack/internal/process/watchdog"
	"dandeliontrack.example/dandeliontrack/internal/quota/limiter"
	"dandeliontrack.example/dandeliontrack/internal/version/matcher"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// textPlatform is a Platform whose rows are texts: a registration is "valid", other rows
// are errors with their value. The value "panic" causes a panic.
type textPlatform struct{ Platform }

func (textPlatform) UpstreamTable() string { return "upstreams" }

func (textPlatform) ParseRegistration(r follower.Row) (registrar.Registration, error) {
	switch string(r.Value) {
	case "valid":
		return registrar.Registration{ID: r.Key, Service: "s", Address: "10.0.0.9:80", Zone: "a1", Slots: 1, RowVersion: r.Version}, nil
	case "panic":
		panic("odd row")
	}
	return registrar.Registration{}, classifier.Invalid.New("%s", r.Value)
}

func (textPlatform) EvacuatedZone(string) (string, bool) { return "", false }

func (textPlatform) ParseConfiguration(r follower.Row) (*matcher.Table, bool, error) {
	return nil, false, classifier.Invalid.New("%s", r.Value)
}

func newRowConductor() (c *Conductor, log *bytes.Buffer) {
	log = new(bytes.Buffer)
	c = &Conductor{platform: textPlatform{}, registrar: registrar.New(map[string]string{"a1": "a"}), log: logger.New(log, zerolog.DebugLevel, "h")}
	c.recoverer, c.watchdog = recoverer.New(c.log, meter.New()), watchdog.New(nil)
	c.limiter = limiter.New("h", limiter.Settings{}, time.Now())
	return c, log
}

func upstreamIDs(c *Conductor) (ids []string) {
	for _, u := range c.registrar.Group("s").Upstreams() {
		ids = append(ids, u.ID())
	}
	return ids
}

// Guards against requests to an upstream whose entry another writer replaced by one that
// names none, and against an upstream that stays away after it registered again.
func TestEntryThatBecomesInvalidNamesNoUpstream(t *testing.T) {
	for name, value := range map[string]string{"invalid": "odd", "empty": ""} {
		t.Run(name, func(t *testing.T) {
			c, log := newRowConductor()
			c.RowsChanged("upstreams", []follower.Row{{Key: "a", Value: []byte("valid"), Version: sequencer.New(0, 1)}, {Key: "b", Value: []byte("valid"), Version: sequencer.New(0, 1)}}, 0, true)
			assert.DeepEqual(t, upstreamIDs(c), []string{"a", "b"})
			c.RowsChanged("upstreams", []follower.Row{
				{Key: "a", Value: []byte(value), Version: sequencer.New(0, 2)}, {Key: "odd", Value: []byte(value), Version: sequencer.New(0, 3)}, {Key: "c", Value: []byte("valid"), Version: sequencer.New(0, 4)},
			}, 0, false)
			assert.DeepEqual(t, upstreamIDs(c), []string{"b", "c"})
			assert.Equal(t, strings.Count(log.String(), `"event":205`), 2, log)
			c.RowsChanged("upstreams", []follower.Row{{Key: "a", Value: []byte("valid"), Version: sequencer.New(0, 5)}}, 0, false)
			assert.DeepEqual(t, upstreamIDs(c), []string{"a", "b", "c"})
			// An older row that arrives late changes nothing.
			c.RowsChanged("upstreams", []follower.Row{{Key: "a", Value: []byte(value), Version: sequencer.New(0, 4)}}, 0, false)
			assert.DeepEqual(t, upstreamIDs(c), []string{"a", "b", "c"})
		})
	}
}

// Guards against a fault in the code that one row triggers and that hides the other rows.
func TestPanicOnOneRowLeavesOthers(t *testing.T) {
	c, log := newRowConductor()
	c.RowsChanged("upstreams", []follower.Row{{Key: "odd", Value: []byte("panic"), Version: sequencer.New(0, 1)}, {Key: "b", Value: []byte("valid"), Version: sequencer.New(0, 2)}}, 0, true)
	assert.DeepEqual(t, upstreamIDs(c), []string{"b"})
	assert.Equal(t, strings.Count(log.String(), `"event":109`), 1, log)
}

// Guards against log lines as long as a row, which many hosts write for each change of it.
func TestLogOfInvalidRowIsBounded(t *testing.T) {
	for name, table := range map[string]string{"registration": "upstreams", "configuration": "op"} {
		t.Run(name, func(t *testing.T) {
			c, log := newRowConductor()
			c.RowsChanged(table, []follower.Row{{Key: "odd", Value: []byte(strings.Repeat("ä", 30_000)), Version: sequencer.New(0, 2)}}, 0, false)
			assert.Equal(t, strings.Count(log.String(), "\n"), 1)
			assert.Assert(t, log.Len() < 1000, "%d bytes", log.Len())
			var line struct{ Error string }
			assert.NilError(t, json.Unmarshal(log.Bytes(), &line))
			assert.Assert(t, strings.Contains(line.Error, "ää"), line.Error)
		})
	}
}

// versionPlatform is a textPlatform whose configurations are texts that begin with their
// version. It records announced hosts.
type versionPlatform struct {
	textPlatform
	mu    sync.Mutex
	hosts []Host
}

func (*versionPlatform) ParseConfiguration(r follower.Row) (*matcher.Table, bool, error) {
	var version uint64
	if _, err := fmt.Sscan(string(r.Value), &version); err != nil {
		return nil, false, err
	}
	t, err := matcher.New(version, nil, nil, matcher.Limits{})
	return t, err == nil, err
}

func (p *versionPlatform) Hosts(context.Context) ([]Host, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.hosts), nil
}

// lose removes the recorded hosts.
func (p *versionPlatform) lose() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = nil
}

func (p *versionPlatform) Announce(_ context.Context, h Host) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = append(p.hosts, h)
	return nil
}

// Guards against a restored store that replaces a configuration in force by an older one, and
// against a version that was given out twice and keeps its first content.
func TestConfigurationDoesNotGoBack(t *testing.T) {
	c, log := newRowConductor()
	c.platform, c.gossiper = new(versionPlatform), gossiper.New(&framer.Member{Name: "h"}, nil, nil)
	for i, step := range []struct {
		row       string
		era       uint64
		installed uint64
		installs  int
	}{{"7 a", 1, 7, 1}, {"5 a", 2, 7, 1}, {"7 a", 2, 7, 1}, {"7 b", 2, 7, 2}, {"8 a", 2, 8, 3}} {
		c.RowsChanged("op", []follower.Row{{Key: "config", Value: []byte(step.row), Version: sequencer.New(step.era, uint64(i+1))}}, 0, false)
		assert.Equal(t, c.table.Load().Version(), step.installed, step.row)
		assert.Equal(t, strings.Count(log.String(), `"event":202`), step.installs, step.row)
	}
	assert.Equal(t, strings.Count(log.String(), `"event":203`), 1)
}

// Guards against a host that others can't find because a restored store lost its row.
func TestHostWhoseRowIsLostAnnouncesAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := newRowConductor()
		p := new(versionPlatform)
		c.platform, c.settings = p, Settings{Name: "h", PeerAddress: "10.0.0.1:7000"}
		c.gossiper = gossiper.New(&framer.Member{Name: "h"}, nil, nil)
		c.throttler = throttler.New("h", throttler.Limit{}, time.Now())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go c.announce(ctx)
		time.Sleep(time.Minute)
		for range 2 {
			hosts, err := p.Hosts(ctx)
			assert.NilError(t, err)
			assert.DeepEqual(t, hosts, []Host{{"h", "10.0.0.1:7000"}})
			p.lose()
			time.Sleep(2 * time.Minute)
		}
	})
}

// Guards against versions that lose their era on the way between hosts.
func TestErasPassBetweenHosts(t *testing.T) {
	host := func(era uint64) *Conductor {
		c, _ := newRowConductor()
		c.surveyor = surveyor.New("h", "a", time.Now())
		f := follower.New("upstreams", nil, 0, c)
		f.Merge(follower.Page{Version: sequencer.New(era, 9), Rows: []follower.Row{{Key: "a", Value: []byte("valid"), Version: sequencer.New(era, 3)}}}, true)
		c.followers = map[string]*follower.Follower{"upstreams": f}
		return c
	}
	request := &framer.Sync{Tables: []*framer.TableVersion{{Table: "upstreams", Era: 1, Version: 50, Whole: true}}}
	out := host(2).syncResponse(request).Tables
	assert.Equal(t, len(out), 1)
	assert.Assert(t, out[0].Whole)
	assert.Equal(t, out[0].Era, uint64(2))
	assert.Equal(t, len(host(1).syncResponse(&framer.Sync{Tables: []*framer.TableVersion{{Table: "upstreams", Era: 2, Version: 1}}}).Tables), 0)
}

// restoredPlatform is a textPlatform whose registrations are the start times of processes. The
// key of an evacuation is "evacuate/" and the zone.
type restoredPlatform struct{ textPlatform }

func (restoredPlatform) OperatorTable() string { return "op" }

func (restoredPlatform) SameRegistration(old, changed []byte) bool { return bytes.Equal(old, changed) }

func (restoredPlatform) EvacuatedZone(key string) (string, bool) {
	return strings.CutPrefix(key, "evacuate/")
}

func (restoredPlatform) ParseRegistration(r follower.Row) (registrar.Registration, error) {
	start, err := strconv.ParseInt(string(r.Value), 10, 64)
	return registrar.Registration{
		ID: r.Key, Service: "s", Address: "10.0.0.9:80", Zone: "a1", Slots: 1, StartUnixMilli: start, RowVersion: r.Version,
	}, err
}

// Guards against an evacuation that has no effect, and against a process that has started and
// gets no requests, because a row with the same key was deleted before the store was restored.
// One that may have left gets no requests.
func TestRowWithDeletedKeyAfterRestoration(t *testing.T) {
	for name, c := range map[string]struct {
		table, key, before, after string
		inUse                     string // upstreams that get requests after the restoration
	}{
		"evacuation":             {"op", "evacuate/a1", "", "", "[]"},
		"process that left":      {"upstreams", "b", "5", "5", "[a]"},
		"earlier process":        {"upstreams", "b", "5", "4", "[a]"},
		"later process":          {"upstreams", "b", "5", "6", "[a b]"},
		"unknown start":          {"upstreams", "b", "0", "0", "[a]"},
		"start not known before": {"upstreams", "b", "0", "6", "[a]"},
		"no registration":        {"upstreams", "b", "5", "odd", "[a]"},
	} {
		t.Run(name, func(t *testing.T) {
			h, _ := newRowConductor()
			h.platform = restoredPlatform{}
			followers := h.newFollowers()
			page := func(era, number uint64, rows ...follower.Row) follower.Page {
				for i := range rows {
					rows[i].Version = sequencer.New(era, number)
				}
				return follower.Page{Version: sequencer.New(era, number), Rows: rows}
			}
			other := follower.Row{Key: "a", Value: []byte("1")}
			followers["upstreams"].Merge(page(1, 1, other), true)
			f := followers[c.table]
			if c.table == "op" {
				f.Merge(page(1, 1), true)
			}
			f.Merge(page(1, 2, follower.Row{Key: c.key, Value: []byte(c.before)}), false)
			f.Merge(page(1, 3, follower.Row{Key: c.key, Deleted: true}), false)
			assert.Equal(t, fmt.Sprint(upstreamIDs(h)), "[a]")
			rows := []follower.Row{{Key: c.key, Value: []byte(c.after)}}
			if c.table == "upstreams" {
				rows = append(rows, other)
			}
			f.Merge(page(2, 2, rows...), true)
			assert.Equal(t, fmt.Sprint(upstreamIDs(h)), c.inUse)
		})
	}
}
