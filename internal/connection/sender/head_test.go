package sender_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/connection/sender"
)

// framing is a response in one kind of framing. Its ID is 2.
type framing struct {
	method string // GET if empty
	head   string // with interim responses before it
	body   string // as sent
	want   string // body of the complete response
	atEnd  bool   // the body ends with the connection
	broken bool   // the head is invalid, so that the response is never complete
}

const ok = "HTTP/1.1 200 OK\r\nId: 2\r\n"

// framings are the responses that the tests cut. Where a length is stated, the body has it.
var framings = map[string]framing{
	"length":                          {head: ok + "Content-Length: 12\r\n\r\n", body: "twelve bytes", want: "twelve bytes"},
	"length, three digits":            {head: ok + "Content-Length: 128\r\n\r\n", body: strings.Repeat("x", 128), want: strings.Repeat("x", 128)},
	"length before the ID":            {head: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nId: 2\r\n\r\n", body: "body", want: "body"},
	"length, to be closed":            {head: ok + "Connection: close\r\nContent-Length: 4\r\n\r\n", body: "body", want: "body"},
	"length 0":                        {head: ok + "Content-Length: 0\r\n\r\n"},
	"length, bare line feeds":         {head: "HTTP/1.1 200 OK\nId: 2\nContent-Length: 4\n\n", body: "body", want: "body"},
	"length, folded":                  {head: ok + "Content-Length:\r\n 4\r\n\r\n", body: "body", want: "body"},
	"length twice, equal":             {head: ok + "Content-Length: 4\r\nContent-Length: 4\r\n\r\n", body: "body", want: "body"},
	"length, after interim":           {head: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + ok + "Content-Length: 4\r\n\r\n", body: "body", want: "body"},
	"length, version 1.0":             {head: "HTTP/1.0 200 OK\r\nId: 2\r\nContent-Length: 4\r\n\r\n", body: "body", want: "body"},
	"length, version 1.0, kept":       {head: "HTTP/1.0 200 OK\r\nId: 2\r\nConnection: keep-alive\r\nContent-Length: 4\r\n\r\n", body: "body", want: "body"},
	"chunked":                         {head: ok + "Transfer-Encoding: chunked\r\n\r\n", body: "4\r\nbody\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n", want: "body0123456789abcdef"},
	"chunked, trailers":               {head: ok + "Trailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n", body: "4\r\nbody\r\n0\r\nSum: 1\r\nMore: 2\r\n\r\n", want: "body"},
	"chunked, extension":              {head: ok + "Transfer-Encoding: chunked\r\n\r\n", body: "4;a=b\r\nbody\r\n0;c\r\n\r\n", want: "body"},
	"chunked, empty":                  {head: ok + "Transfer-Encoding: chunked\r\n\r\n", body: "0\r\n\r\n"},
	"chunked, bare line feeds":        {head: "HTTP/1.1 200 OK\nId: 2\nTransfer-Encoding: chunked\n\n", body: "4\r\nbody\r\n0\r\n\r\n", want: "body"},
	"chunked and length":              {head: ok + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", body: "4\r\nbody\r\n0\r\n\r\n", want: "body"},
	"no length":                       {head: ok + "\r\n", body: "twelve bytes", want: "twelve bytes", atEnd: true},
	"no length, to be closed":         {head: ok + "Connection: close\r\n\r\n", body: "body", want: "body", atEnd: true},
	"no length, version 1.0":          {head: "HTTP/1.0 200 OK\r\nId: 2\r\n\r\n", body: "body", want: "body", atEnd: true},
	"no length, bare line feeds":      {head: "HTTP/1.1 200 OK\nId: 2\n\n", body: "body", want: "body", atEnd: true},
	"no content":                      {head: "HTTP/1.1 204 No Content\r\nId: 2\r\n\r\n"},
	"no content, length":              {head: "HTTP/1.1 204 No Content\r\nId: 2\r\nContent-Length: 0\r\n\r\n"},
	"not modified":                    {head: "HTTP/1.1 304 Not Modified\r\nId: 2\r\nContent-Length: 12\r\n\r\n"},
	"to HEAD":                         {method: http.MethodHead, head: ok + "Content-Length: 12\r\n\r\n"},
	"to HEAD, no length":              {method: http.MethodHead, head: ok + "\r\n"},
	"to HEAD, chunked":                {method: http.MethodHead, head: ok + "Transfer-Encoding: chunked\r\n\r\n"},
	"two lengths":                     {head: ok + "Content-Length: 4\r\nContent-Length: 5\r\n\r\n", body: "body5", broken: true},
	"list of lengths":                 {head: ok + "Content-Length: 4, 4\r\n\r\n", body: "body", broken: true},
	"negative length":                 {head: ok + "Content-Length: -4\r\n\r\n", body: "body", broken: true},
	"signed length":                   {head: ok + "Content-Length: +4\r\n\r\n", body: "body", broken: true},
	"empty length":                    {head: ok + "Content-Length: \r\n\r\n", body: "body", broken: true},
	"length in hexadecimal":           {head: ok + "Content-Length: 0x4\r\n\r\n", body: "body", broken: true},
	"length over 63 bits":             {head: ok + "Content-Length: 9223372036854775808\r\n\r\n", body: "body", broken: true},
	"length of 63 bits":               {head: ok + "Content-Length: 9223372036854775807\r\n\r\n", body: "body", broken: true},
	"misspelt coding":                 {head: ok + "Transfer-Encoding: chunkd\r\n\r\n", body: "4\r\nbody\r\n0\r\n\r\n", broken: true},
	"two codings":                     {head: ok + "Transfer-Encoding: gzip, chunked\r\n\r\n", body: "4\r\nbody\r\n0\r\n\r\n", broken: true},
	"chunked twice":                   {head: ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", body: "4\r\nbody\r\n0\r\n\r\n", broken: true},
	"empty coding":                    {head: ok + "Transfer-Encoding: \r\n\r\n", body: "4\r\nbody\r\n0\r\n\r\n", broken: true},
	"misspelt coding and length":      {head: ok + "Content-Length: 4\r\nTransfer-Encoding: chunkd\r\n\r\n", body: "body", broken: true},
	"line without a colon":            {head: ok + "Content-Length\r\n\r\n", body: "body", broken: true},
	"carriage return in a value":      {head: ok + "X: a\rContent-Length: 4\r\n\r\n", body: "body", broken: true},
	"chunk size, bare line feed":      {head: ok + "Transfer-Encoding: chunked\r\n\r\n", body: "4\nbody\r\n0\r\n\r\n", broken: true},
	"chunk longer than its size":      {head: ok + "Transfer-Encoding: chunked\r\n\r\n", body: "3\r\nbody\r\n0\r\n\r\n", broken: true},
	"chunk size over 64 bits":         {head: ok + "Transfer-Encoding: chunked\r\n\r\n", body: "10000000000000004\r\nbody\r\n0\r\n\r\n", broken: true},
	"trailer without a colon":         {head: ok + "Transfer-Encoding: chunked\r\n\r\n", body: "4\r\nbody\r\n0\r\nSum\r\n\r\n", broken: true},
	"space before a length colon":     {head: ok + "Content-Length : 12\r\n\r\n", body: "twelve bytes", broken: true},
	"space before a coding colon":     {head: ok + "Transfer-Encoding : chunked\r\n\r\n", body: "4\r\nbody\r\n0\r\n\r\n", broken: true},
	"chunked, version 1.0":            {head: "HTTP/1.0 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n", body: "4\r\nbody\r\n0\r\n\r\n", want: "body"},
	"chunked, version 1.0, kept":      {head: "HTTP/1.0 200 OK\r\nId: 2\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n", body: "4\r\nbody\r\n0\r\n\r\n", want: "body"},
	"chunked, version 0.9":            {head: "HTTP/0.9 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n", body: "4\r\nbody\r\n0\r\n\r\n", broken: true},
	"chunked and length, version 1.0": {head: "HTTP/1.0 200 OK\r\nId: 2\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", body: "4\r\nbody\r\n0\r\n\r\n", want: "body"},
	"misspelt coding, version 1.0":    {head: "HTTP/1.0 200 OK\r\nId: 2\r\nTransfer-Encoding: chunkd\r\n\r\n", body: "4\r\nbody\r\n0\r\n\r\n", broken: true},

	"length, folded date":                  {head: ok + "Date: Mon,\r\n 07 Dec 2026\r\n\t08:00:00 GMT\r\nContent-Length: 4\r\n\r\n", body: "body", want: "body"},
	"length, odd token names":              {head: ok + "!#$%&'*+-.^_`|~1: 1\r\nContent-Length: 4\r\n\r\n", body: "body", want: "body"},
	"length, no reason":                    {head: "HTTP/1.1 200\r\nId: 2\r\nContent-Length: 4\r\n\r\n", body: "body", want: "body"},
	"length, two spaces before the status": {head: "HTTP/1.1  200 OK\r\nId: 2\r\nContent-Length: 4\r\n\r\n", body: "body", want: "body"},
	"length, status 599":                   {head: "HTTP/1.1 599 Odd\r\nId: 2\r\nContent-Length: 4\r\n\r\n", body: "body", want: "body"},
	"length, after interim 199":            {head: "HTTP/1.1 199 Odd\r\n\r\n" + ok + "Content-Length: 4\r\n\r\n", body: "body", want: "body"},

	"status 000":                     {head: "HTTP/1.1 000 Bad\r\nId: 2\r\n\r\n" + ok + "Content-Length: 4\r\n\r\n", body: "body", broken: true},
	"status 000, with a body":        {head: "HTTP/1.1 000 Bad\r\nId: 2\r\nContent-Length: 4\r\n\r\n", body: "body", broken: true},
	"status 000, version 1.0":        {head: "HTTP/1.0 000 Bad\r\nId: 2\r\n\r\n" + ok + "Content-Length: 4\r\n\r\n", body: "body", broken: true},
	"status 000, after interim":      {head: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Bad\r\n\r\n" + ok + "Content-Length: 4\r\n\r\n", body: "body", broken: true},
	"status 099":                     {head: "HTTP/1.1 099 Bad\r\nId: 2\r\n\r\n" + ok + "Content-Length: 4\r\n\r\n", body: "body", broken: true},
	"status +12":                     {head: "HTTP/1.1 +12 Bad\r\nId: 2\r\n\r\n" + ok + "Content-Length: 4\r\n\r\n", body: "body", broken: true},
	"status -00":                     {head: "HTTP/1.1 -00 Bad\r\nId: 2\r\n\r\n" + ok + "Content-Length: 4\r\n\r\n", body: "body", broken: true},
	"status 600":                     {head: "HTTP/1.1 600 Bad\r\nId: 2\r\nContent-Length: 4\r\n\r\n", body: "body", broken: true},
	"status 999":                     {head: "HTTP/1.1 999 Bad\r\nId: 2\r\nContent-Length: 4\r\n\r\n", body: "body", broken: true},
	"status of two digits":           {head: "HTTP/1.1 20 OK\r\nId: 2\r\nContent-Length: 4\r\n\r\n", body: "body", broken: true},
	"status of four digits":          {head: "HTTP/1.1 2000 OK\r\nId: 2\r\nContent-Length: 4\r\n\r\n", body: "body", broken: true},
	"status in hexadecimal":          {head: "HTTP/1.1 0xc OK\r\nId: 2\r\nContent-Length: 4\r\n\r\n", body: "body", broken: true},
	"version 2.0":                    {head: "HTTP/2.0 200 OK\r\nId: 2\r\nContent-Length: 4\r\n\r\n", body: "body", broken: true},
	"space in a name":                {head: ok + "X Y: 1\r\nContent-Length: 4\r\n\r\n", body: "body", broken: true},
	"space before a colon":           {head: ok + "X : 1\r\nContent-Length: 4\r\n\r\n", body: "body", broken: true},
	"space in a length name":         {head: ok + "Content Length: 4\r\n\r\n", body: "body", broken: true},
	"space in a coding name":         {head: ok + "Transfer- Encoding: chunked\r\n\r\n", body: "4\r\nbody\r\n0\r\n\r\n", broken: true},
	"space in a coding name, length": {head: ok + "Transfer -Encoding: chunked\r\nContent-Length: 3\r\n\r\n", body: "4\r\nbody\r\n0\r\n\r\n", broken: true},
	"space in a name, interim":       {head: "HTTP/1.1 103 Early Hints\r\nLi nk: </a>\r\n\r\n" + ok + "Content-Length: 4\r\n\r\n", body: "body", broken: true},
	"space in a name, version 1.0":   {head: "HTTP/1.0 200 OK\r\nId: 2\r\nX Y: 1\r\nContent-Length: 4\r\n\r\n", body: "body", broken: true},
	"space before the first name":    {head: "HTTP/1.1 200 OK\r\n X: 1\r\nId: 2\r\nContent-Length: 4\r\n\r\n", body: "body", broken: true},
	"space before a length name":     {head: ok + "X: 1\r\n Content-Length: 4\r\n\r\n", body: "body", broken: true},
	"tab before a length name":       {head: ok + "X: 1\r\n\tContent-Length: 4\r\n\r\n", body: "body", broken: true},
	"line feed before a name":        {head: ok + "Content-Length: 4\r\n\nX: 1\r\n\r\n", body: "body", broken: true},
	"line feed in a name":            {head: ok + "Content-Length: 4\r\nX\nY: 1\r\n\r\n", body: "body", broken: true},
	"carriage return in a name":      {head: ok + "X\rY: 1\r\nContent-Length: 4\r\n\r\n", body: "body", broken: true},
	"carriage return before a name":  {head: ok + "\rX: 1\r\nContent-Length: 4\r\n\r\n", body: "body", broken: true},
	"tab in a name":                  {head: ok + "X\tY: 1\r\nContent-Length: 4\r\n\r\n", body: "body", broken: true},
	"tab before a colon":             {head: ok + "X\t: 1\r\nContent-Length: 4\r\n\r\n", body: "body", broken: true},
	"NUL in a name":                  {head: ok + "X\x00Y: 1\r\nContent-Length: 4\r\n\r\n", body: "body", broken: true},
	"escape in a name":               {head: ok + "X\x1bY: 1\r\nContent-Length: 4\r\n\r\n", body: "body", broken: true},
	"DEL in a name":                  {head: ok + "X\x7fY: 1\r\nContent-Length: 4\r\n\r\n", body: "body", broken: true},
	"empty name":                     {head: ok + ": 1\r\nContent-Length: 4\r\n\r\n", body: "body", broken: true},
	"name outside ASCII":             {head: ok + "X\xe9: 1\r\nContent-Length: 4\r\n\r\n", body: "body", broken: true},
	"space in a trailer name":        {head: ok + "Transfer-Encoding: chunked\r\n\r\n", body: "4\r\nbody\r\n0\r\nX Y: 1\r\n\r\n", broken: true},
	"NUL in a trailer name":          {head: ok + "Transfer-Encoding: chunked\r\n\r\n", body: "4\r\nbody\r\n0\r\nX\x00Y: 1\r\n\r\n", broken: true},
}

// complete returns the body of the response if only its first n bytes arrive, and whether
// the response is complete.
func (f *framing) complete(n int, cleanClose bool) (string, bool) {
	switch {
	case f.broken:
		return "", false
	case f.atEnd:
		return f.body[:max(0, n-len(f.head))], n >= len(f.head) && cleanClose
	default:
		return f.want, n == len(f.head)+len(f.body)
	}
}

// cutConn is a connection in memory whose upstream responds to each request with the next
// of its responses, and ends the connection after the last one.
type cutConn struct {
	net.Conn
	responses []string
	segment   int // bytes of each read
	unread    string
	end       error // of the next read after the last response
}

func (c *cutConn) Write(p []byte) (int, error) {
	c.unread += c.responses[0]
	c.responses = c.responses[1:]
	return len(p), nil
}

// Read returns the end of the connection like a socket does: a reset is reported once, and
// io.EOF from then on.
func (c *cutConn) Read(p []byte) (int, error) {
	if c.unread == "" {
		err := c.end
		c.end = io.EOF
		return 0, err
	}
	n := copy(p, c.unread[:min(len(c.unread), c.segment)])
	c.unread = c.unread[n:]
	return n, nil
}

func (*cutConn) Close() error                     { return nil }
func (*cutConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (*cutConn) SetDeadline(time.Time) error      { return nil }
func (*cutConn) SetReadDeadline(time.Time) error  { return nil }
func (*cutConn) SetWriteDeadline(time.Time) error { return nil }

// roundTrip sends a request with an ID and returns the body of the response.
func roundTrip(t *testing.T, s *sender.Sender, method, address, id string) (string, error) {
	t.Helper()
	c, err := s.Get(t.Context(), address)
	assert.NilError(t, err)
	r := &sender.Request{Method: method, Target: "/a", Host: "h", Header: http.Header{"Id": {id}}}
	response, err := c.Do(t.Context(), r, time.Now().Add(time.Minute))
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.Close()
		return "", err
	}
	c.Release()
	return string(body), nil
}

// Guards against a response that is taken for complete although its upstream ended the
// connection in its head or body: each response is cut after each of its bytes, on a new
// connection and on one that carried a request before.
func TestCutResponseIsNotComplete(t *testing.T) {
	ends := map[string]error{"closed": io.EOF, "reset": syscall.ECONNRESET}
	for name, f := range framings {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var next *cutConn
			s := sender.New(sender.Options{Match: match, Dial: func(context.Context, string, string) (net.Conn, error) { return next, nil }})
			defer s.Close()
			text := f.head + f.body
			f.method = cmp.Or(f.method, http.MethodGet)
			for i := range 4 * (len(text) + 1) {
				n, reused, segment := i/4, i%2 == 1, []int{1 + len(text)/256, len(text) + 1}[i/2%2]
				for end, err := range ends {
					next = &cutConn{responses: []string{text[:n]}, segment: segment, end: err}
					address := fmt.Sprintf("%d %s", i, end)
					if reused {
						next.responses = []string{firstResponse, text[:n]}
						body, err := roundTrip(t, s, http.MethodGet, address, "1")
						assert.NilError(t, err)
						assert.Equal(t, body, "first")
					}
					checkCut(t, s, &f, address, end, n)
					assert.Equal(t, len(next.responses), 0)
				}
			}
			assert.Equal(t, s.DialCount(), int64(8*(len(text)+1)))
		})
	}
}

func checkCut(t *testing.T, s *sender.Sender, f *framing, address, end string, n int) {
	t.Helper()
	want, complete := f.complete(n, end == "closed")
	body, err := roundTrip(t, s, f.method, address, "2")
	if !complete {
		assert.Assert(t, err != nil, "%s after %d bytes: %q is taken for complete", end, n, body)
		return
	}
	assert.NilError(t, err, "%s after %d bytes", end, n)
	assert.Equal(t, body, want, "%s after %d bytes", end, n)
}

// Guards against a difference between the connections of TestCutResponseIsNotComplete and
// sockets, and against a half-closed connection that is taken for an open one.
func TestCutResponseOnSocketIsNotComplete(t *testing.T) {
	ends := map[string]func(c *net.TCPConn){
		"closed":      func(c *net.TCPConn) { _ = c.Close() },
		"half-closed": func(c *net.TCPConn) { _ = c.CloseWrite() },
		"reset": func(c *net.TCPConn) {
			_ = c.SetLinger(0)
			_ = c.Close()
		},
	}
	for _, name := range []string{"length", "length 0", "chunked, trailers", "no length", "no content", "chunked, version 1.0"} {
		f := framings[name]
		f.method = http.MethodGet
		text := f.head + f.body
		for end, finish := range ends {
			t.Run(name+", "+end, func(t *testing.T) {
				cuts := make(chan int, 1)
				address, _ := upstream(t, func(c net.Conn) {
					_, _ = io.WriteString(c, text[:<-cuts])
					finish(c.(*net.TCPConn))
				})
				for n := range len(text) + 1 {
					cuts <- n
					s := newSender(t)
					if end == "reset" && n == len(text) {
						// The reset may arrive before the sender has read the response.
						_, err := roundTrip(t, s, f.method, address, "2")
						assert.Assert(t, !f.atEnd || err != nil)
						continue
					}
					checkCut(t, s, &f, address, strings.TrimPrefix(end, "half-"), n)
				}
			})
		}
	}
}

// Guards against a header that is lost, cut or not checked beyond the size of the read buffer,
// and against bytes of the next response that are lost when the buffer has grown.
func TestLongHeader(t *testing.T) {
	for _, n := range []int{4 << 10, 8 << 10, 9000, 30 << 10, 63 << 10} {
		for shift := -3; shift <= 3; shift++ {
			long := ok + "Content-Length: 4\r\nLong: "
			long += strings.Repeat("x", n+shift-len(long)-len("\r\n\r\n"))
			for name, c := range map[string]struct {
				rest string
				want string // "" for an error
			}{
				"sound":         {"\r\n\r\nbody", "body"},
				"cut":           {"\r\n", ""},
				"space in name": {"\r\nX Y: 1\r\n\r\nbody", ""},
			} {
				for _, segment := range []int{1000, 1 << 20} {
					conn := &cutConn{responses: []string{firstResponse, long + c.rest, ok + "Content-Length: 5\r\n\r\nafter"}, segment: segment, end: io.EOF}
					s := sender.New(sender.Options{Match: match, Dial: func(context.Context, string, string) (net.Conn, error) { return conn, nil }})
					_, err := roundTrip(t, s, http.MethodGet, "a", "1")
					assert.NilError(t, err)
					body, err := roundTrip(t, s, http.MethodGet, "a", "2")
					assert.Equal(t, body, c.want, "%s, %d bytes: %v", name, n+shift, err)
					if c.want != "" {
						body, err = roundTrip(t, s, http.MethodGet, "a", "2")
						assert.NilError(t, err)
						assert.Equal(t, body, "after")
						assert.Equal(t, s.DialCount(), int64(1))
					}
					s.Close()
				}
			}
		}
	}
}
