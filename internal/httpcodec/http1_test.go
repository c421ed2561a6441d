package httpcodec

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

var small = Limits{Line: 200, Head: 600, Headers: 10, Body: 100}

// request reads one whole request given in pieces of the given size; piece 0 gives it at once.
func request(text string, lim Limits, piece int) (h Head, body []byte, used int, err error) {
	p := Parser{Limits: lim}
	b := []byte(text)
	n := 0
	for to := step(0, piece, len(b)); ; to = step(to, piece, len(b)) {
		if n, err = p.ParseRequest(b[:to:to], &h); n > 0 || err != nil || to == len(b) {
			break
		}
	}
	if err != nil || n == 0 {
		if err == nil {
			err = io.ErrUnexpectedEOF
		}
		return h, nil, 0, err
	}
	var d Body
	d.ResetRequest(&h, lim)
	body, used, err = decode(&d, b[n:], piece)
	return h, body, n + used, err
}

func step(at, piece, end int) int {
	if piece == 0 {
		return end
	}
	return min(at+piece, end)
}

func decode(d *Body, b []byte, piece int) (body []byte, used int, err error) {
	for to := step(0, piece, len(b)); !d.Done(); to = step(to, piece, len(b)) {
		for !d.Done() {
			data, n, err := d.Next(b[used:to])
			if err != nil {
				return body, used, err
			}
			body = append(body, data...)
			if used += n; n == 0 {
				break
			}
		}
		if to == len(b) && !d.Done() {
			return body, used, io.ErrUnexpectedEOF
		}
	}
	return body, used, nil
}

func TestRequests(t *testing.T) {
	const get = "GET /v2/health/live HTTP/1.1\r\nHost: a\r\n"
	for _, c := range []struct {
		name, text string
		status     int // 0: good
		body       string
	}{
		{"plain", get + "\r\n", 0, ""},
		{"length", "POST /a HTTP/1.1\r\nhost:a:1\r\ncontent-LENGTH: 3 \r\n\r\nabcGET", 0, "abc"},
		{"chunked", "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: Chunked\r\n\r\n3\r\nabc\r\n0A;x=y\r\n0123456789\r\n0\r\nT: 1\r\n\r\n", 0, "abc0123456789"},
		{"old version", "GET / HTTP/1.0\r\n\r\n", 0, ""},
		{"options", "OPTIONS * HTTP/1.1\r\nHost:\r\n\r\n", 0, ""},
		{"escape", "GET /a%2fb?c=% HTTP/1.1\r\nHost: a\r\n\r\n", 400, ""},
		{"both framings", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, ""},
		{"both the other way", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", 400, ""},
		{"length twice", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400, ""},
		{"length list", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3, 3\r\n\r\nabc", 400, ""},
		{"length signed", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc", 400, ""},
		{"length empty", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n\r\n", 400, ""},
		{"length in hex", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0x3\r\n\r\nabc", 400, ""},
		{"length too long", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999\r\n\r\n", 400, ""},
		{"body too large", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n", 413, ""},
		{"chunks too large", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + strings.Repeat("x", 101) + "\r\n0\r\n\r\n", 413, ""},
		{"bare LF", "GET / HTTP/1.1\nHost: a\r\n\r\n", 400, ""},
		{"bare LF in headers", "GET / HTTP/1.1\r\nHost: a\nX: b\r\n\r\n", 400, ""},
		{"bare CR in value", "GET / HTTP/1.1\r\nHost: a\r\nX: b\rc\r\n\r\n", 400, ""},
		{"fold", "GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n", 400, ""},
		{"first header folded", "GET / HTTP/1.1\r\n Host: a\r\n\r\n", 400, ""},
		{"space before colon", "GET / HTTP/1.1\r\nHost : a\r\n\r\n", 400, ""},
		{"empty name", "GET / HTTP/1.1\r\nHost: a\r\n: b\r\n\r\n", 400, ""},
		{"no colon", "GET / HTTP/1.1\r\nHost: a\r\nabc\r\n\r\n", 400, ""},
		{"NUL in value", "GET / HTTP/1.1\r\nHost: a\r\nX: a\x00b\r\n\r\n", 400, ""},
		{"NUL in target", "GET /\x00 HTTP/1.1\r\nHost: a\r\n\r\n", 400, ""},
		{"no host", "GET / HTTP/1.1\r\n\r\n", 400, ""},
		{"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: a\r\n\r\n", 400, ""},
		{"host with path", "GET / HTTP/1.1\r\nHost: a/b\r\n\r\n", 400, ""},
		{"method", "G@T / HTTP/1.1\r\nHost: a\r\n\r\n", 400, ""},
		{"two spaces", "GET  / HTTP/1.1\r\nHost: a\r\n\r\n", 400, ""},
		{"no version", "GET /\r\nHost: a\r\n\r\n", 400, ""},
		{"version 2", "GET / HTTP/2.0\r\nHost: a\r\n\r\n", 505, ""},
		{"version 1.2", "GET / HTTP/1.2\r\nHost: a\r\n\r\n", 505, ""},
		{"lower case version", "GET / http/1.1\r\nHost: a\r\n\r\n", 400, ""},
		{"gzip", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501, ""},
		{"chunked twice", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 501, ""},
		{"chunked in 1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, ""},
		{"expect else", get + "Expect: 200-ok\r\n\r\n", 417, ""},
		{"chunk signed", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n+3\r\nabc\r\n0\r\n\r\n", 400, ""},
		{"chunk 0x", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n", 400, ""},
		{"chunk without end", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n", 400, ""},
		{"chunk with bare LF", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n", 400, ""},
		{"chunk size too long", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n11111111111111113\r\nabc", 400, ""},
		{"space after chunk size", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3 \r\nabc\r\n0\r\n\r\n", 400, ""},
		{"trailer with a space", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA : b\r\n\r\n", 400, ""},
		{"length as trailer", "POST / HTTP/1.1\r\nHost: a\r\nTrailer: content-length\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, ""},
		{"target too long", "GET /" + strings.Repeat("a", 300) + " HTTP/1.1\r\nHost: a\r\n\r\n", 414, ""},
		{"head too large", get + "X: " + strings.Repeat("a", 700) + "\r\n\r\n", 431, ""},
		{"too many headers", get + strings.Repeat("X: a\r\n", 10) + "\r\n", 431, ""},
	} {
		for _, piece := range []int{0, 1, 7} {
			h, body, used, err := request(c.text, small, piece)
			var e *Error
			switch {
			case c.status == 0 && (err != nil || string(body) != c.body):
				t.Errorf("%s in pieces of %d: %q, %v", c.name, piece, body, err)
			case c.status != 0 && !errors.As(err, &e):
				t.Errorf("%s in pieces of %d: taken, %v", c.name, piece, err)
			case c.status != 0 && e.Status != c.status:
				t.Errorf("%s in pieces of %d: %v, want %d", c.name, piece, e, c.status)
			case c.status == 0 && c.name == "length" && (used != len(c.text)-3 || string(h.Get("host")) != "a:1"):
				t.Errorf("%d used, host %q", used, h.Get("host"))
			}
		}
	}
}

func TestAnswers(t *testing.T) {
	for _, c := range []struct {
		text, body string
		head, bad  bool
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", "ab", false, false},
		{"HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nab", "ab", false, false},
		{"HTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", "ab", false, false},
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", "", true, false},
		{"HTTP/1.1 204 No\r\n\r\n", "", false, false},
		{"HTTP/1.0 200 OK\r\n\r\nab", "ab", false, false},
		{"HTTP/1.1 20 OK\r\n\r\n", "", false, true},
		{"HTTP/1.1 2000 OK\r\n\r\n", "", false, true},
		{"HTTP/2.0 200 OK\r\n\r\n", "", false, true},
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", "", false, true},
	} {
		p := Parser{Limits: DefaultLimits}
		var h Head
		n, err := p.ParseResponse([]byte(c.text), &h)
		if (err != nil) != c.bad || err == nil && n == 0 {
			t.Errorf("%q: %d %v", c.text, n, err)
		}
		if err != nil {
			continue
		}
		var d Body
		d.ResetResponse(&h, c.head)
		var body []byte
		for rest := []byte(c.text)[n:]; !d.Done() && len(rest) > 0; {
			data, used, err := d.Next(rest)
			if err != nil {
				t.Fatal(err)
			}
			body, rest = append(body, data...), rest[used:]
		}
		if string(body) != c.body || !d.Done() && !d.ReadsUntilClose() {
			t.Errorf("%q: body %q", c.text, body)
		}
	}
}

func TestWarmParserAllocatesNothing(t *testing.T) {
	b := []byte("POST /v2/models/m/infer HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nX: y\r\nTransfer: z\r\n\r\nabc")
	p := Parser{Limits: DefaultLimits}
	var h Head
	var d Body
	if n := testing.AllocsPerRun(100, func() {
		n, err := p.ParseRequest(b, &h)
		if err != nil {
			t.Fatal(err)
		}
		d.ResetRequest(&h, DefaultLimits)
		if data, _, _ := d.Next(b[n:]); len(data) != 3 {
			t.Fatal("body")
		}
	}); n != 0 {
		t.Errorf("%g allocations", n)
	}
}

// compare reads one request by our codec and by net/http. What only we take is a failure; what both take must be
// read alike.
func compare(text []byte, piece int) error {
	h, body, used, err := request(string(text), Limits{Line: 4 << 10, Head: 16 << 10, Headers: 50, Body: 1 << 20}, piece)
	if err != nil {
		return nil
	}
	r := bufio.NewReaderSize(bytes.NewReader(text), 64<<10)
	theirs, err := http.ReadRequest(r)
	if err != nil {
		return fmt.Errorf("only we take it: %w", err)
	}
	their, err := io.ReadAll(theirs.Body)
	if err != nil {
		return fmt.Errorf("only we take its body: %w", err)
	}
	theirs.Body.Close()
	rest, _ := io.ReadAll(r)
	switch {
	case theirs.Method != string(h.Method) || theirs.RequestURI != string(h.Target):
		return fmt.Errorf("first line: theirs %q %q, ours %q %q", theirs.Method, theirs.RequestURI, h.Method, h.Target)
	case !bytes.Equal(their, body):
		return fmt.Errorf("body: theirs %q, ours %q", their, body)
	case len(rest) != len(text)-used:
		return fmt.Errorf("%d bytes left by them, %d by us", len(rest), len(text)-used)
	case theirs.Close != h.Close && theirs.ProtoMinor == 1:
		return fmt.Errorf("close: theirs %v, ours %v", theirs.Close, h.Close)
	}
	for i := range h.Headers {
		n := http.CanonicalHeaderKey(string(h.Headers[i].Name))
		if n == "Host" || n == "Transfer-Encoding" || n == "Trailer" || n == "Connection" || n == "Pragma" {
			continue
		}
		found := false
		for _, v := range theirs.Header.Values(n) {
			found = found || v == string(h.Headers[i].Value)
		}
		if !found {
			return fmt.Errorf("header %s: theirs %q, ours %q", n, theirs.Header.Values(n), h.Headers[i].Value)
		}
	}
	return nil
}

func FuzzRequest(f *testing.F) {
	for _, s := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST /a?b=%20 HTTP/1.1\r\nHost: a:1\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabcGET / HTTP/1.1\r\n",
		"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n3;x=\"y\"\r\nabc\r\n0\r\nT: 1\r\n\r\nrest",
		"GET //a//b HTTP/1.0\r\nConnection: keep-alive, x\r\n\r\n",
		"OPTIONS * HTTP/1.1\r\nHost: [::1]\r\nExpect: 100-continue\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding:\tchunked\r\n\r\n00\r\n\r\n",
		"GET /%zz HTTP/1.1\r\nHost: a\r\n\r\n", "M-S / HTTP/1.1\r\nHost: a\r\nX:\x80\xff\r\n\r\n",
	} {
		f.Add([]byte(s), 0)
		f.Add([]byte(s), 3)
	}
	f.Fuzz(func(t *testing.T, b []byte, piece int) {
		if err := compare(b, max(0, piece%64)); err != nil {
			t.Errorf("%q: %v", b, err)
		}
	})
}

// FuzzPieces: how the bytes are cut up must not matter.
func FuzzPieces(f *testing.F) {
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"), 5)
	f.Fuzz(func(t *testing.T, b []byte, piece int) {
		_, body, used, err := request(string(b), small, 0)
		_, body2, used2, err2 := request(string(b), small, 1+max(0, piece%32))
		if (err == nil) != (err2 == nil) || err == nil && (!bytes.Equal(body, body2) || used != used2) {
			t.Errorf("%q at once: %q %d %v; in pieces: %q %d %v", b, body, used, err, body2, used2, err2)
		}
	})
}

func BenchmarkRequest(b *testing.B) {
	text := []byte("POST /v2/models/species-fern/infer HTTP/1.1\r\nHost: 127.0.0.1:8080\r\nContent-Type: application/json\r\nContent-Length: 90\r\nIdempotency-Key: 123\r\n\r\n")
	p := Parser{Limits: DefaultLimits}
	var h Head
	b.ReportAllocs()
	for b.Loop() {
		if _, err := p.ParseRequest(text, &h); err != nil {
			b.Fatal(err)
		}
	}
}
