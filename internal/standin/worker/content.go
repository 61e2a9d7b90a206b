package worker

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"dandeliontrack.example/dandeliontrack/internal/version/noter"
)

const (
	blockSize = 32 << 10
	// maxSize bounds the size that a request can ask for with ?size=.
	maxSize = 256 << 20
	// maxDigests bounds the cache of digests; a full cache is emptied.
	maxDigests = 4096
)

// content is the body of an answer. It depends on the seed and the size only,
// so every upstream of a service answers a path with the same bytes.
type content struct {
	seed uint64
	size int64
}

// reader reads a content. Each block holds its own number, so that missing and
// repeated blocks change the digest.
type reader struct {
	content
	block  [blockSize]byte
	offset int64
}

var errSeek = errors.New("seek outside the content")

func newReader(c content) *reader {
	r := &reader{content: c}
	var seed [32]byte
	binary.LittleEndian.PutUint64(seed[:], c.seed)
	// ChaCha8.Read never fails.
	_, _ = rand.NewChaCha8(seed).Read(r.block[:])
	return r
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	if r.offset >= r.size {
		return 0, io.EOF
	}
	in := r.offset % blockSize
	binary.LittleEndian.PutUint64(r.block[:], uint64(r.offset/blockSize))
	n := copy(p, r.block[in:min(blockSize, in+r.size-r.offset)])
	r.offset += int64(n)
	return n, nil
}

// Seek implements io.Seeker.
func (r *reader) Seek(offset int64, whence int) (int64, error) {
	switch whence {
	case io.SeekCurrent:
		offset += r.offset
	case io.SeekEnd:
		offset += r.size
	}
	if offset < 0 {
		return 0, errSeek
	}
	r.offset = offset
	return offset, nil
}

// digest returns the SHA-256 of a content in hexadecimal.
func (w *Worker) digest(c content) string {
	w.mu.Lock()
	known, ok := w.digests[c]
	w.mu.Unlock()
	if ok {
		return known
	}
	h := sha256.New()
	// Reading a content and hashing it never fail.
	_, _ = io.Copy(h, newReader(c))
	sum := hex.EncodeToString(h.Sum(nil))
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.digests) >= maxDigests {
		clear(w.digests)
	}
	w.digests[c] = sum
	return sum
}

// answer sends the body. GET and HEAD answers depend on the path and the size.
// Other answers also depend on the request and the time of the run, so that a
// second run shows in the body.
func (w *Worker) answer(rw http.ResponseWriter, r *http.Request, f Faults, v *visit) {
	query := r.URL.Query()
	c := content{seed: xxhash.Sum64String(r.URL.Path), size: number(query.Get("size"), w.settings.Size)}
	repeatable := r.Method == http.MethodGet || r.Method == http.MethodHead
	if !repeatable {
		c.seed ^= xxhash.Sum64String(r.Header.Get("Request-Id") + strconv.FormatInt(time.Now().UnixNano(), 10))
		r.Header.Del("Range")
	}
	sum := w.digest(c)
	raw, _ := hex.DecodeString(sum)
	head := rw.Header()
	head.Set("Content-Type", "application/octet-stream")
	head.Set("Repr-Digest", "sha-256=:"+base64.StdEncoding.EncodeToString(raw)+":")
	head.Set("Outcome", "ran")
	if repeatable {
		head.Set("ETag", strconv.Quote(sum[:32]))
	}
	s := &sender{reader: newReader(c), worker: w, visit: v, request: r, left: -1}
	if f.Short > 0 {
		s.left = f.Short
	}
	if bps := number(query.Get("rate"), w.settings.Rate); bps > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(bps), blockSize)
	}
	http.ServeContent(rw, r, "", time.Time{}, s)
	if s.left == 0 {
		panic(http.ErrAbortHandler)
	}
}

// number returns the value of a query parameter, or the default if it is
// missing, not a number or out of bounds.
func number(text string, value int64) int64 {
	if n, err := strconv.ParseInt(text, 10, 64); err == nil && n >= 0 && n <= maxSize {
		return n
	}
	return value
}

// sender reads a content at a limited rate, counts it, and ends it early when
// the answer is to be short.
type sender struct {
	*reader
	worker  *Worker
	visit   *visit
	request *http.Request
	limiter *rate.Limiter
	left    int64
}

// Read implements io.Reader.
func (s *sender) Read(p []byte) (int, error) {
	ctx := s.request.Context()
	s.worker.waitIfSilent(ctx)
	if s.left == 0 {
		return 0, io.ErrUnexpectedEOF
	}
	if s.left > 0 {
		p = p[:min(int64(len(p)), s.left)]
	}
	n, err := s.reader.Read(p)
	if s.limiter != nil && n > 0 {
		if err := s.limiter.WaitN(ctx, n); err != nil {
			return 0, err
		}
	}
	if s.left > 0 {
		s.left -= int64(n)
	}
	if s.offset == s.size || s.left == 0 {
		s.visit.leave()
	}
	s.worker.count(func(c *Counts) { c.Bytes += int64(n) })
	return n, err
}

// SetDraining starts or ends the drain.
func (w *Worker) SetDraining(on bool) { w.ChangeFaults(func(f *Faults) { f.Draining = on }) }

// SetLag sets how old the readings of /health and /load are.
func (w *Worker) SetLag(d time.Duration) {
	w.ChangeFaults(func(f *Faults) { f.Lag = noter.Duration(d) })
}
