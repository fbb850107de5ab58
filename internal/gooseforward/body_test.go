package gooseforward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosememory"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosetransfer"
)

// bodyMemoryLeft returns the memory that is free for long bodies, and for small ones and the begins
// of those of unknown length.
func bodyMemoryLeft(m *bodyMemory) (long, small int64) {
	return m.long.Free(), m.small.Free() + m.smallChunks.Free()
}

// takeAll takes all memory of a pool that is free.
func takeAll(t *testing.T, p *goosememory.Pool) goosememory.Claim {
	t.Helper()
	all := goosememory.Claim{Bytes: p.Free()}
	if !p.TryAcquire(all) {
		t.Fatal("the memory is in use")
	}
	return all
}

// smallBody is a body that needs memory.
var smallBody = strings.Repeat("x", firstBufferBytes+1)

// source returns a body on no connection.
func source(r io.Reader, length, limit int64) bodySource {
	return bodySource{
		Reader: r, conn: goose.UnknownConn{}, owners: func() []goosememory.Owner { return nil }, length: length, limit: limit,
		wait: testTimeout, cut: func(goosetransfer.Kind) {},
	}
}

// Guards against bodies that are changed on the way into their buffer, and against memory that
// stays reserved after a request.
func TestBodiesAreReadWhole(t *testing.T) {
	t.Parallel()
	const limit = 300 << 10
	for name, length := range map[string]int{
		"empty": 0, "one byte": 1, "first buffer": firstBufferBytes, "first buffer and one": firstBufferBytes + 1,
		"small": smallBodyBytes, "small and one": smallBodyBytes + 1, "long": 200_000, "limit": limit, "beyond the limit": limit + 1,
	} {
		for _, known := range []bool{false, true} {
			t.Run(name+map[bool]string{true: ", length known", false: ", length unknown"}[known], func(t *testing.T) {
				t.Parallel()
				m := newBodyMemory(4<<20, goosetransfer.New())
				wantLong, wantSmall := bodyMemoryLeft(m)
				body := bytes.Repeat([]byte("0123456789abcde"), length/15+1)[:length]
				announced := int64(-1)
				if known {
					announced = int64(length)
				}
				got, held, err := m.read(context.Background(), source(iotest.HalfReader(bytes.NewReader(body)), announced, limit))
				switch {
				case err != nil:
					t.Fatal(err)
				case length <= limit && !bytes.Equal(got, body):
					t.Errorf("got %d bytes, want the %d of the body", len(got), length)
				case length > limit && int64(len(got)) <= limit:
					t.Errorf("got %d bytes of a body that is too long, want more than %d", len(got), limit)
				}
				if held.claim.Bytes < int64(cap(got)) && cap(got) > firstBufferBytes {
					t.Errorf("%d bytes are held for a buffer of %d", held.claim.Bytes, cap(got))
				}
				held.release()
				if long, small := bodyMemoryLeft(m); long != wantLong || small != wantSmall {
					t.Errorf("got %d and %d bytes free after the release, want %d and %d", long, small, wantLong, wantSmall)
				}
			})
		}
	}
}

// Guards against bodies that were cut and pass as whole.
func TestCutBodyIsError(t *testing.T) {
	t.Parallel()
	for name, length := range map[string]int64{"length known": 10, "length unknown": -1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cut := io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(io.ErrUnexpectedEOF))
			if _, _, err := newBodyMemory(0, goosetransfer.New()).read(context.Background(), source(cut, length, 100)); !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("got error %v, want %v", err, io.ErrUnexpectedEOF)
			}
		})
	}
}

// Guards against a process whose memory long bodies fill, and against short requests that wait
// for them. The load pattern is a burst of long bodies that are sent slowly.
func TestBodyMemoryIsBounded(t *testing.T) {
	t.Parallel()
	// exhausted is how long a body waits for memory that stays taken, and served how long one may
	// wait that is served, which has to suffice on a machine without a free processor.
	const machine, length, exhausted, served = 4 << 20, 100 << 10, 200 * time.Millisecond, 20 * time.Second
	for name, announced := range map[string]int64{"length known": length, "length unknown": -1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := newBodyMemory(machine, goosetransfer.New())
			read := func(body string, announced int64, wait time.Duration) (heldBody, error) {
				s := source(strings.NewReader(body), announced, length)
				s.wait = wait
				_, held, err := m.read(context.Background(), s)
				return held, err
			}
			long := strings.Repeat("x", length)
			var held []heldBody
			for {
				h, err := read(long, announced, exhausted)
				if err != nil {
					if !errors.Is(err, errNoBodyMemory) {
						t.Errorf("got error %v, want %v", err, errNoBodyMemory)
					}
					h.release()
					break
				}
				held = append(held, h)
			}
			if got := len(held) * length; got == 0 || got > machine/longBodyShare {
				t.Errorf("long bodies hold %d bytes, want at most %d", got, machine/longBodyShare)
			}
			if _, err := read("short", 5, served); err != nil {
				t.Errorf("got error %v for a short body beside long ones", err)
			}
			time.AfterFunc(exhausted/20, func() { held[0].release() })
			if _, err := read(long, announced, served); err != nil {
				t.Errorf("got error %v for a body that waits until another one is done", err)
			}
		})
	}
}

// Guards against bodies that stop short of their end and keep ordinary requests without memory: the
// slow one is refused as not run, on a connection that closes, and the other one is served.
func TestSlowBodyIsCut(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		announced int64
		pool      func(m *bodyMemory) *goosememory.Pool
	}{
		"of known length": {smallBodyBytes, func(m *bodyMemory) *goosememory.Pool { return m.small }},
		"in chunks":       {-1, func(m *bodyMemory) *goosememory.Pool { return m.smallChunks }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, succeed)
			pool := tc.pool(h.forwarder.bodyMemory)
			all := pool.Free()
			slowBody, w := io.Pipe()
			defer func() { _ = w.Close() }()
			slow := h.request(context.Background(), "/order/x", "")
			slow.Body, slow.ContentLength = slowBody, tc.announced
			refused := make(chan struct{})
			go func() {
				defer close(refused)
				checkSlowBodyRefused(t, slow)
			}()
			_, _ = io.WriteString(w, smallBody)
			started := time.Now()
			for ; pool.Free() == all; time.Sleep(time.Millisecond) {
				if time.Since(started) > testTimeout {
					t.Fatal("the slow body holds no memory")
				}
			}
			takeAll(t, pool)
			for {
				r := h.request(context.Background(), "/order/x", smallBody)
				if tc.announced < 0 {
					r.ContentLength = -1
				}
				got := h.send(r)
				if got.status == http.StatusOK {
					break
				}
				if time.Since(started) > testTimeout {
					t.Fatalf("got status %d, body %s beside a body that stopped short, want 200", got.status, got.body)
				}
			}
			<-refused
			if !h.log.Has(gooseevent.TransferCut.Message) {
				t.Errorf("got log %s without the cut", h.log.String())
			}
		})
	}
}

// checkSlowBodyRefused sends a request whose body stops short, and checks that it is refused as not
// run on a connection that closes.
func checkSlowBodyRefused(t *testing.T, slow *http.Request) {
	resp, err := http.DefaultTransport.RoundTrip(slow)
	if err != nil {
		t.Error(err)
		return
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusRequestTimeout || !resp.Close || !strings.Contains(string(text), `"run":"not-run"`) {
		t.Errorf("got status %d, closed %t, body %s for the slow body, want 408 as not run and a closed connection", resp.StatusCode, resp.Close, text)
	}
}

// Guards against callers that wait for their deadline, or are told too little, because there is
// no memory for their bodies.
func TestNoBodyMemoryIsRefused(t *testing.T) {
	t.Parallel()
	h := newHarness(t, succeed)
	_, all := bodyMemoryLeft(h.forwarder.bodyMemory)
	taken := takeAll(t, h.forwarder.bodyMemory.small)
	r := h.request(context.Background(), "/order/x", smallBody)
	r.Header.Set("X-Deadline-Ms", "400")
	got := h.send(r)
	if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, `"run":"not-run"`) || got.header.Get("Retry-After") == "" || h.reached("i-0") != 0 {
		t.Errorf("got status %d, body %s, %d requests at the replica, want a refusal as not run", got.status, got.body, h.reached("i-0"))
	}
	if got := h.post("/order/x", "body"); got.status != http.StatusOK {
		t.Errorf("got status %d for a body that needs no memory, want 200", got.status)
	}
	h.forwarder.bodyMemory.small.Release(taken)
	if got := h.post("/order/x", smallBody); got.status != http.StatusOK {
		t.Errorf("got status %d once there is memory, want 200", got.status)
	}
	if _, left := bodyMemoryLeft(h.forwarder.bodyMemory); left != all {
		t.Errorf("got %d bytes free after the response, want %d", left, all)
	}
}

// Guards against a body that does not arrive in time and is refused with a status after which
// callers do not come again.
func TestLateBodyMayBeSentAgain(t *testing.T) {
	t.Parallel()
	h := newHarness(t, succeed)
	body, w := io.Pipe()
	defer func() { _ = w.Close() }()
	r := h.request(context.Background(), "/order/x", "")
	r.Body, r.ContentLength = body, -1
	r.Header.Set("X-Deadline-Ms", "100")
	go func() { _, _ = io.WriteString(w, "a part") }()
	if got := h.send(r); got.status != http.StatusRequestTimeout || !strings.Contains(got.body, `"run":"not-run"`) || h.reached("i-0") != 0 {
		t.Errorf("got status %d, body %s, %d requests at the replica, want 408 as not run", got.status, got.body, h.reached("i-0"))
	}
}

// Guards against a refusal of a long body that its caller loses, because the connection is
// reset while the body is still being sent.
func TestRefusalArrivesBeforeBody(t *testing.T) {
	t.Parallel()
	const length = 16 << 20
	for name, tc := range map[string]struct {
		path string
		want int
	}{"too long": {"/order/x", http.StatusRequestEntityTooLarge}, "no route": {"/none", http.StatusNotFound}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, succeed)
			conn, err := net.Dial("tcp4", strings.TrimPrefix(h.url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(testTimeout))
			head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer k1\r\nX-Attempt-Id: a1\r\nContent-Length: %d\r\n\r\n", tc.path, length)
			// The caller reads only when it has sent the whole body.
			if _, err := io.WriteString(conn, head+strings.Repeat("x", length)); err != nil {
				t.Fatalf("got error %v while the body was sent", err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("got error %v, want the refusal", err)
			}
			defer resp.Body.Close()
			if body, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != tc.want || !strings.Contains(string(body), `"run":"not-run"`) {
				t.Errorf("got status %d, body %s, error %v, want the whole refusal with status %d", resp.StatusCode, body, err, tc.want)
			}
		})
	}
}

// Guards against the rest of a body that is read as the next request, after a refusal that was
// sent before the body's end.
func TestRestOfBodyIsNoRequest(t *testing.T) {
	t.Parallel()
	h := newHarness(t, succeed)
	body, w := io.Pipe()
	defer func() { _ = w.Close() }()
	r := h.request(context.Background(), "/order/x", "")
	r.Body, r.ContentLength = body, -1
	r.Header.Set("X-Deadline-Ms", "100")
	go func() { _, _ = io.WriteString(w, "a part") }()
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if !resp.Close {
		t.Errorf("got status %d on a connection that stays open, want it closed", resp.StatusCode)
	}
}

// countedBody is an endless body that counts what is read of it, and records how much memory for
// small bodies was free at the last read.
type countedBody struct {
	memory    *bodyMemory
	read      int64
	freeSmall int64
}

func (b *countedBody) Read(p []byte) (int, error) {
	b.read += int64(len(p))
	_, b.freeSmall = bodyMemoryLeft(b.memory)
	return len(p), nil
}

// Guards against an endless body that is read at the cost of others after its refusal, and that
// keeps memory meanwhile.
func TestRestOfRefusedBodyIsBounded(t *testing.T) {
	t.Parallel()
	h := newHarness(t, succeed)
	body := &countedBody{memory: h.forwarder.bodyMemory}
	r := httptest.NewRequest(http.MethodPost, "http://desk.example/order/x", body)
	r.ContentLength = -1
	r.Header.Set("Authorization", "Bearer k1")
	r.Header.Set("X-Attempt-Id", "a1")
	long, small := bodyMemoryLeft(h.forwarder.bodyMemory)
	w := httptest.NewRecorder()
	h.forwarder.ServeHTTP(w, r)
	if w.Code != http.StatusRequestEntityTooLarge || body.read > maxDiscardBytes+1<<20 {
		t.Errorf("got status %d, %d bytes read, want 413 and at most %d", w.Code, body.read, maxDiscardBytes)
	}
	if body.freeSmall != small {
		t.Errorf("got %d bytes free while the rest was read, want %d", body.freeSmall, small)
	}
	if gotLong, gotSmall := bodyMemoryLeft(h.forwarder.bodyMemory); gotLong != long || gotSmall != small {
		t.Errorf("got %d and %d bytes free, want %d and %d", gotLong, gotSmall, long, small)
	}
}
