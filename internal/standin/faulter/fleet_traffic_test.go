package faulter

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/checker"
	"dandeliontrack.example/dandeliontrack/internal/standin/delayer"
	"dandeliontrack.example/dandeliontrack/pkg/caller"
)

// sent is a request in flight, sent to the caller address of a host.
type sent struct {
	address string
	at      time.Time
}

// attempts sends the requests of a caller and feeds the checker with each of
// them. The caller repeats what did not run, each time with a new id.
type attempts struct {
	fleet *fleet
	next  http.RoundTripper
}

func (a attempts) RoundTrip(r *http.Request) (*http.Response, error) {
	f := a.fleet
	var at *process
	for _, h := range f.hosts {
		if h.address(8080) == r.URL.Host {
			at = h.current().proc
		}
	}
	if strings.HasPrefix(r.URL.Path, "/v1/lookup/") {
		f.reached(Lookup, at)
		return a.next.RoundTrip(r)
	}
	for _, s := range []Step{Admission, RegionChoice, UpstreamChoice} {
		f.reached(s, at)
	}
	r = r.Clone(r.Context())
	var id string
	f.tell(func(now time.Time) {
		f.next++
		id = fmt.Sprintf("q%d", f.next)
		f.open[id] = sent{r.URL.Host, now}
		f.checker.Sent(checker.Sent{At: now, ID: id, Service: "shop", ClientAccount: r.Header.Get("Customer"), Key: r.Header.Get("Idempotency-Key"), Once: r.Method == http.MethodPost})
	})
	r.Header.Set("Request-Id", id)
	resp, err := a.next.RoundTrip(r)
	answer := checker.Answered{ID: id, Broken: err != nil}
	if err != nil {
		// A refused dial did not run.
		if op := new(net.OpError); asDial(err, &op) {
			answer.Outcome = "not-run"
		}
		f.answer(answer)
		return nil, err
	}
	answer.Status, answer.Outcome, answer.Echo = resp.StatusCode, resp.Header.Get("Outcome"), resp.Header.Get("Request-Id")
	if want := resp.Header.Get("Repr-Digest"); want != "" && resp.StatusCode == http.StatusOK {
		answer.Want = want
	}
	resp.Body = &body{ReadCloser: resp.Body, f: f, at: at, answer: answer, hash: sha256.New(), download: strings.Contains(r.URL.Path, "/file")}
	return resp, nil
}

func (f *fleet) answer(a checker.Answered) {
	f.tell(func(now time.Time) {
		a.At = now
		delete(f.open, a.ID)
		f.answered[fmt.Sprint(a.Status, " ", a.Outcome, " ", a.Broken)]++
		f.checker.Answered(a)
	})
}

type hash interface {
	io.Writer
	Sum(b []byte) []byte
}

// body reads an answer and feeds the checker with its end.
type body struct {
	io.ReadCloser
	f        *fleet
	at       *process
	answer   checker.Answered
	hash     hash
	download bool
	done     bool
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	_, _ = b.hash.Write(p[:n])
	if n > 0 && err == nil && b.download {
		b.f.reached(AnswerStreaming, b.at)
	}
	if err != nil {
		b.end(err != io.EOF)
	}
	return n, err
}

func (b *body) Close() error {
	b.end(true)
	return b.ReadCloser.Close()
}

func (b *body) end(broken bool) {
	if b.done {
		return
	}
	b.done, b.answer.Broken = true, broken
	if b.answer.Want != "" {
		b.answer.Digest = digestField(b.hash.Sum(nil))
	}
	b.f.answer(b.answer)
}

// traffic sends the requests of one caller until ctx ends: a look-up every
// 200 ms, an order every 500 ms, a download every 3 s and a burst every 4 s.
func (f *fleet) traffic(ctx context.Context, i int) {
	p := f.net.process("client", delayer.Place{Region: regions[i], Zone: regions[i] + "-a", Client: true})
	seeds := []string{f.hosts[i].address(8080), f.hosts[(i+1)%3].address(8080)}
	c := caller.New(seeds, attempts{f, p.client().Transport})
	for n := 0; ctx.Err() == nil; n++ {
		if n%2 == 0 {
			f.wg.Go(func() { f.send(c, http.MethodGet, fmt.Sprintf("/price/%d", n%7), "") })
		}
		if n%5 == 0 {
			f.order(c, i, n)
		}
		if n%30 == 7 {
			f.wg.Go(func() { f.send(c, http.MethodGet, fmt.Sprintf("/file/%d?size=200000&rate=40000", n), "") })
		}
		if n%40 == 13 {
			for range 24 {
				f.wg.Go(func() { f.send(c, http.MethodGet, "/price/1", "") })
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// order sends the n-th order of caller i: every second one with a key, and every
// fourth twice, as an application that repeats it while the first is under way.
func (f *fleet) order(c *caller.Caller, i, n int) {
	key := ""
	if n%10 == 0 {
		key = fmt.Sprintf("k%d-%d", i, n)
	}
	f.wg.Go(func() { f.send(c, http.MethodPost, "/order", key) })
	if n%20 == 0 {
		f.wg.Go(func() { f.send(c, http.MethodPost, "/order", key) })
	}
}

func (f *fleet) send(c *caller.Caller, method, path, key string) {
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	var payload io.Reader
	if method == http.MethodPost {
		payload = strings.NewReader("order")
	}
	r, err := http.NewRequestWithContext(ctx, method, path, payload)
	must(err)
	r.Header.Set("Customer", []string{"stays", "refuses"}[len(path)%2])
	if !strings.HasPrefix(path, "/file") {
		r.Header.Set("Request-Timeout", "2s")
	}
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	resp, err := c.Do("shop", r)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

func digestField(sum []byte) string {
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum) + ":"
}
