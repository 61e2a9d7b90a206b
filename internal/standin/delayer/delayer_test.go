package delayer_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/standin/delayer"
)

var (
	bkk    = delayer.Place{Region: "bkk", Zone: "bkk-a"}
	cnx    = delayer.Place{Region: "cnx", Zone: "cnx-a"}
	delays = delayer.Delays{Zone: time.Millisecond, Region: 30 * time.Millisecond, Client: 4 * time.Millisecond}
)

// echo starts a listener in cnx that repeats what it reads.
func echo(t *testing.T, d *delayer.Delayer) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	d.SetPlace(l.Addr().String(), cnx)
	return l.Addr().String()
}

func trip(c net.Conn, timeout time.Duration) error {
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if _, err := c.Write([]byte("hello")); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 5))
	return err
}

// Guards against a wrong delay for a pair of places.
func TestDelay(t *testing.T) {
	client := delayer.Place{Region: "bkk", Zone: "bkk-a", Client: true}
	for name, c := range map[string]struct {
		a, b delayer.Place
		want time.Duration
	}{
		"same zone":          {bkk, bkk, 0},
		"zones of a region":  {bkk, delayer.Place{Region: "bkk", Zone: "bkk-b"}, delays.Zone},
		"regions":            {bkk, cnx, delays.Region},
		"client, its zone":   {client, bkk, delays.Client},
		"client, far region": {cnx, client, delays.Client + delays.Region},
	} {
		assert.Equal(t, delayer.New(delays).Delay(c.a, c.b), c.want, name)
	}
}

// Guards against a connection that is faster than its link, and against bytes
// that no link window sees.
func TestRoundTripAndBytes(t *testing.T) {
	d := delayer.New(delays)
	address := echo(t, d)
	start := time.Now()
	c, err := d.Dialer(bkk)(t.Context(), "tcp", address)
	assert.NilError(t, err)
	assert.Assert(t, time.Since(start) >= 2*delays.Region, "handshake")
	start = time.Now()
	assert.NilError(t, trip(c, 10*time.Second))
	assert.Assert(t, time.Since(start) >= 2*delays.Region)
	assert.Equal(t, c.RemoteAddr().String(), address)
	sent := d.Bytes()
	assert.Equal(t, sent[delayer.Pair{From: "bkk", To: "cnx"}], int64(5))
	assert.Equal(t, sent[delayer.Pair{From: "cnx", To: "bkk"}], int64(5))
	assert.NilError(t, c.Close())
	for deadline := time.Now().Add(10 * time.Second); d.Open() > 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "the connection is never released")
	}
}

// Guards against a silence that the caller is told of or that stops new
// connections, and against a cut that lets new connections through.
func TestSilenceAndCut(t *testing.T) {
	d := delayer.New(delayer.Delays{})
	address, dial := echo(t, d), d.Dialer(bkk)
	open := func() net.Conn {
		c, err := dial(t.Context(), "tcp", address)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		assert.NilError(t, trip(c, 10*time.Second))
		return c
	}
	old := open()
	d.Silence("cnx", "bkk")
	assert.ErrorContains(t, trip(old, 100*time.Millisecond), "timeout")
	open()
	d.Cut("bkk", "cnx")
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := dial(ctx, "tcp", address)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	d.Heal("bkk", "cnx")
	open()
	assert.ErrorContains(t, trip(old, 100*time.Millisecond), "timeout")
}
