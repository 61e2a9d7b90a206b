package sender_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/connection/sender"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// upstream answers each connection by a script: one function for each request.
func upstream(t *testing.T, script ...func(c net.Conn)) (address string, requests *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	requests = new(atomic.Int64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					n := requests.Add(1)
					script[min(int(n), len(script))-1](c)
				}
			}()
		}
	}()
	return l.Addr().String(), requests
}

func answer(text string) func(net.Conn) {
	return func(c net.Conn) { _, _ = io.WriteString(c, text) }
}

func cut(text string) func(net.Conn) {
	return func(c net.Conn) {
		_, _ = io.WriteString(c, text)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func newSender(t *testing.T) *sender.Sender {
	t.Helper()
	s := sender.New(sender.Options{Match: match})
	t.Cleanup(s.Close)
	return s
}

func match(request, answer sender.Header) sender.Match {
	switch answer.Get("Id") {
	case request.Get("Id"):
		return sender.MatchSame
	case "":
		return sender.MatchNoID
	default:
		return sender.MatchOther
	}
}

// Guards against requests that are lost on connections that the upstream forgot: on
// a grown day 1.2 in 100 requests, most of them orders, were reset after 0.16 s of
// idleness, one after the other.
func TestForgottenConnectionsAreNotTrusted(t *testing.T) {
	ok := func(id string) func(net.Conn) {
		return answer("HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\nok")
	}
	address, _ := upstream(t, ok("1"), ok("2"), cut(""), ok("4"), ok("5"))
	s := newSender(t)
	get := func(id string) error {
		_, err := do(t, s, address, id)
		return err
	}
	assert.NilError(t, get("1"))
	assert.NilError(t, get("2"))
	time.Sleep(150 * time.Millisecond)
	assert.Equal(t, classifier.Of(get("3")), classifier.Failed)
	assert.Equal(t, s.DialCount(), int64(1))
	assert.NilError(t, get("4"))
	assert.Equal(t, s.DialCount(), int64(2))
	time.Sleep(400 * time.Millisecond)
	assert.NilError(t, get("5"))
	assert.Equal(t, s.DialCount(), int64(3))
}

// Guards against a request that was given up and runs later: on the bench a deposit
// that a partition held up ran 5.9 s after its caller had got 504, in a zone that
// had been evacuated since. A reset makes the kernel drop what was not delivered.
func TestGivenUpRequestsAreReset(t *testing.T) {
	for name, c := range map[string]struct {
		give func(t *testing.T, s *sender.Sender, address string)
		want error
	}{
		"deadline": {func(t *testing.T, s *sender.Sender, address string) {
			c, err := s.Get(t.Context(), address)
			assert.NilError(t, err)
			r := &sender.Request{Method: http.MethodPost, Target: "/a", Host: "h", Header: http.Header{}, Body: []byte("x")}
			_, err = c.Do(t.Context(), r, time.Now().Add(50*time.Millisecond))
			assert.Equal(t, classifier.Of(err), classifier.TimedOut)
		}, syscall.ECONNRESET},
		"answered": {func(t *testing.T, s *sender.Sender, address string) {
			_, err := do(t, s, address, "1")
			assert.NilError(t, err)
			s.Remove(address)
		}, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { _ = l.Close() })
			end := make(chan error, 1)
			go func() {
				conn, err := l.Accept()
				if err != nil {
					end <- err
					return
				}
				defer conn.Close()
				br := bufio.NewReader(conn)
				r, err := http.ReadRequest(br)
				if err != nil {
					end <- err
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				if name == "answered" {
					answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")(conn)
				}
				_, err = br.ReadByte()
				end <- err
			}()
			c.give(t, newSender(t), l.Addr().String())
			assert.ErrorIs(t, <-end, c.want)
		})
	}
}

func do(t *testing.T, s *sender.Sender, address, id string) (string, error) {
	t.Helper()
	c, err := s.Get(t.Context(), address)
	if err != nil {
		return "", err
	}
	r := &sender.Request{Method: http.MethodPost, Target: "/a", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte("x")}
	a, err := c.Do(t.Context(), r, time.Now().Add(10*time.Second))
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(a.Body)
	if err != nil {
		c.Close()
		return "", err
	}
	c.Release()
	return string(body), nil
}

const first = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nfirst"

// Guards against an answer that is sent twice, the second time where the answer
// to the next request is due.
func TestSecondAnswerIsSkipped(t *testing.T) {
	second := "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 6\r\n\r\nsecond"
	address, requests := upstream(t, answer(first), answer(first+second))
	s := newSender(t)
	body, err := do(t, s, address, "1")
	assert.NilError(t, err)
	assert.Equal(t, body, "first")
	body, err = do(t, s, address, "2")
	assert.NilError(t, err)
	assert.Equal(t, body, "second")
	assert.Equal(t, requests.Load(), int64(2))
	assert.Equal(t, s.DialCount(), int64(1))
}

// Guards against late second answers on a connection that is in use again, in the
// forms that the request's ID does not tell apart: one without an ID, which may belong
// to the request before, and one that arrives between the look for unread bytes and
// the request. The next request must never get them.
func TestLateSecondAnswers(t *testing.T) {
	const nameless = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
	const own = "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\nown"
	for name, c := range map[string]struct {
		script []func(net.Conn)
		want   string // "" for an error
	}{
		"without an ID, alone":            {[]func(net.Conn){answer(first), answer(nameless)}, ""},
		"without an ID, before the own":   {[]func(net.Conn){answer(first), answer(nameless + own)}, ""},
		"with its ID, before the own":     {[]func(net.Conn){answer(first), answer(first + own)}, "own"},
		"with its ID, many":               {[]func(net.Conn){answer(first), answer(first + first + first + first + own)}, ""},
		"without an end, before the own":  {[]func(net.Conn){answer(first), answer("HTTP/1.1 200 OK\r\nId: 1\r\n\r\n" + own)}, ""},
		"first request, without an ID":    {[]func(net.Conn){answer(nameless), answer(own)}, "own"},
		"with the ID of neither of them":  {[]func(net.Conn){answer(first), answer("HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 0\r\n\r\n" + own)}, "own"},
		"a failure without an ID, before": {[]func(net.Conn){answer(first), answer("HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n" + own)}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := upstream(t, c.script...)
			s := newSender(t)
			body, err := do(t, s, address, "1")
			assert.NilError(t, err)
			assert.Equal(t, body, "first")
			body, err = do(t, s, address, "2")
			assert.Equal(t, body, c.want, "%v", err)
			if c.want == "" {
				assert.Equal(t, classifier.Of(err), classifier.ResponseMismatch, "%v", err)
			}
		})
	}
}

// Guards against bytes that arrive on an idle connection and are kept until it is used.
func TestIdleConnectionThatReceivesIsClosed(t *testing.T) {
	closed := make(chan struct{})
	address, _ := upstream(t, func(c net.Conn) {
		_, _ = io.WriteString(c, first)
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(c, first)
		_, _ = io.Copy(io.Discard, c)
		close(closed)
	})
	_, err := do(t, newSender(t), address, "1")
	assert.NilError(t, err)
	<-closed
}

// Guards against a request that is sent again by itself after its connection
// broke, and against an error kind that says it did not run.
func TestLostAnswerMayHaveRun(t *testing.T) {
	for name, end := range map[string]func(net.Conn){
		"reset":          cut(""),
		"half a header":  cut("HTTP/1.1 200"),
		"no protocol":    cut("garbage\r\n\r\n"),
		"other's answer": cut("HTTP/1.1 200 OK\r\nId: 9\r\n\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			address, requests := upstream(t, answer(first), end)
			s := newSender(t)
			_, err := do(t, s, address, "1")
			assert.NilError(t, err)
			_, err = do(t, s, address, "2")
			assert.Equal(t, classifier.Of(err).Outcome(), classifier.MayHaveRun, "%v", err)
			assert.Equal(t, requests.Load(), int64(2))
		})
	}
}

// Guards against bytes behind an answer that are taken for the next one.
func TestConnectionWithExtraBytesIsClosed(t *testing.T) {
	address, _ := upstream(t, answer(first+"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), answer("HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 2\r\n\r\nok"))
	s := newSender(t)
	_, err := do(t, s, address, "1")
	assert.NilError(t, err)
	body, err := do(t, s, address, "2")
	assert.NilError(t, err)
	assert.Equal(t, body, "ok")
	assert.Equal(t, s.DialCount(), int64(2))
}

// Guards against an answer that ends early and looks complete.
func TestBrokenBodyIsAnError(t *testing.T) {
	for name, text := range map[string]string{
		"length":   "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
		"chunks":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"unframed": "HTTP/1.1 200 OK\r\n\r\nabc",
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := upstream(t, cut(text))
			_, err := do(t, newSender(t), address, "1")
			assert.Assert(t, err != nil)
		})
	}
}

// Guards against waiting for an upstream that is gone, and against calling that
// "may have run".
func TestUnreachableDidNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	_, err = do(t, newSender(t), address, "1")
	assert.Equal(t, classifier.Of(err), classifier.Unreachable)
}

// Guards against work that goes on at an upstream after its caller left: the
// connection is closed.
func TestCancelClosesTheConnection(t *testing.T) {
	closed, arrived := make(chan struct{}), make(chan struct{})
	address, _ := upstream(t, func(c net.Conn) {
		close(arrived)
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	})
	s := newSender(t)
	c, err := s.Get(t.Context(), address)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	_, err = c.Do(ctx, &sender.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}, time.Now().Add(time.Minute))
	assert.Equal(t, classifier.Of(err).Outcome(), classifier.MayHaveRun)
	<-closed
}

// Guards against a kept connection that is dropped because the deadline of its
// last request is over: 140 of 220 connections of a host were opened for that.
func TestKeptConnectionOutlivesItsDeadline(t *testing.T) {
	address, _ := upstream(t, answer(first))
	s := newSender(t)
	for range 2 {
		c, err := s.Get(t.Context(), address)
		assert.NilError(t, err)
		deadline := time.Now().Add(300 * time.Millisecond)
		a, err := c.Do(t.Context(), &sender.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Id": {"1"}}}, deadline)
		assert.NilError(t, err)
		_, err = io.ReadAll(a.Body)
		assert.NilError(t, err)
		c.Release()
		time.Sleep(time.Until(deadline.Add(10 * time.Millisecond)))
	}
	assert.Equal(t, s.DialCount(), int64(1))
}
