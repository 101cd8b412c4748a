// Package platformstore is a stand-in for the platform's metadata store: keyed
// topics with one partition, read by offset or by the newest record of each
// key. Tests write to it as the operator and the backend servers do, and make it
// fail.
package platformstore

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/merlinpost/merlinpost/internal/standin"
)

// Topics of the operator and of the backend servers.
const (
	TopicOperator = "keyed.op"
	TopicServers  = "keyed.servers"
)

// Mode says how the store answers.
type Mode int

// The modes.
const (
	ModeAvailable    Mode = iota
	ModeUnavailable       // 503 at once
	ModeUnresponsive      // no answer until the caller gives up
)

type record struct {
	key   string
	value []byte
}

type topic struct {
	first   int64
	records []record
	newest  map[string]newest
}

type newest struct {
	value  []byte
	offset int64
}

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	*httptest.Server

	mu      sync.Mutex
	topics  map[string]*topic
	mode    Mode
	changed chan struct{} // closed and replaced at each change
	era     int           // told in all answers; it rises when the store comes back from a copy
	reads   int
	// PageSize is the number of records on a page of the newest ones.
	PageSize int
	chunked  bool // replies do not state their length
	delay    time.Duration
	link     sync.Mutex // held while a piece of a reply is on its way
	// appending is held from the check of an append's condition to its end.
	appending sync.Mutex
	perPiece  time.Duration
}

// pieceBytes is how much of a reply crosses a slow link at once.
const pieceBytes = 8 << 10

// SetLink has replies cross one link of so many bits a second together; 0 for a link
// that takes no time.
func (s *Store) SetBandwidth(bitsPerSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.perPiece = 0
	if bitsPerSecond > 0 {
		s.perPiece = time.Duration(8 * pieceBytes / bitsPerSecond * float64(time.Second))
	}
}

// SetChunked has replies come in chunks, without stating their length.
func (s *Store) SetChunked(chunked bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chunked = chunked
}

// SetDelay has each reply begin so much later.
func (s *Store) SetResponseDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// reply writes a reply at the pace of the link.
func (s *Store) reply(w http.ResponseWriter, r *http.Request, body []byte) {
	s.mu.Lock()
	perPiece, chunked, delay := s.perPiece, s.chunked, s.delay
	s.mu.Unlock()
	if !standin.SleepContext(r.Context(), delay) {
		return
	}
	if !chunked {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	flusher := http.NewResponseController(w)
	for len(body) > 0 {
		n := len(body)
		if perPiece > 0 {
			n = min(n, pieceBytes)
			s.link.Lock()
			alive := standin.SleepContext(r.Context(), perPiece*time.Duration(n)/pieceBytes)
			s.link.Unlock()
			if !alive {
				return
			}
		}
		if _, err := w.Write(body[:n]); err != nil || flusher.Flush() != nil {
			return // the caller has left
		}
		body = body[n:]
	}
}

// Start returns a running store without records. Close ends it.
func Start() *Store {
	s := New()
	s.Server = httptest.NewServer(s.Handler())
	return s
}

// New returns a store without records that is not served yet.
func New() *Store {
	return &Store{topics: map[string]*topic{}, changed: make(chan struct{}), PageSize: 500}
}

// Handler answers the calls.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /merlinpost/log-read", s.read)
	mux.HandleFunc("GET /merlinpost/log-newest", s.newest)
	mux.HandleFunc("POST /merlinpost/log-append", s.append)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Store-Era", strconv.Itoa(s.Era()))
		mux.ServeHTTP(w, r)
	})
}

// Era returns how often the store has come back from a copy.
func (s *Store) Era() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Copy is the store's contents at a moment.
type Snapshot struct{ topics map[string]*topic }

// Copy returns the contents as they are now.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{copyTopics(s.topics)}
}

func copyTopics(topics map[string]*topic) map[string]*topic {
	out := map[string]*topic{}
	for name, t := range topics {
		out[name] = &topic{first: t.first, records: slices.Clone(t.records), newest: maps.Clone(t.newest)}
	}
	return out
}

// Restore has the store come back from a copy: what was written since is gone, offsets are given out
// again, and the era rises.
func (s *Store) Restore(c Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics = copyTopics(c.topics)
	s.era++
	s.wake()
}

// Address returns the IP:PORT of the store.
func (s *Store) Address() string { return s.Listener.Addr().String() }

// SetMode changes how the store answers.
func (s *Store) SetMode(m Mode) {
	s.mu.Lock()
	s.mode = m
	s.wake()
	s.mu.Unlock()
}

// Reads returns the number of calls so far.
func (s *Store) RequestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]newest{}}
		s.topics[name] = t
	}
	return t
}

// Put appends a record; a nil value drops the key.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	offset := t.first + int64(len(t.records))
	t.records = append(t.records, record{key, value})
	if value == nil {
		delete(t.newest, key)
	} else {
		t.newest[key] = newest{value, offset}
	}
	s.wake()
}

// PutJSON appends a record whose value is v as JSON.
func (s *Store) PutJSON(name, key string, v any) {
	value, err := json.Marshal(v)
	if err != nil {
		panic(err) // a test's own value
	}
	s.Put(name, key, value)
}

// Forget deletes the records of a topic; the newest of each key stays.
func (s *Store) Truncate(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first += int64(len(t.records))
	t.records = nil
	s.wake()
}

// admit applies the mode; false when the call has been answered.
func (s *Store) admit(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	s.reads++
	mode := s.mode
	s.mu.Unlock()
	switch mode {
	case ModeUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	case ModeUnresponsive:
		<-r.Context().Done()
		return false
	}
	return true
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("wait_ms")) // none is 0
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		t := s.topic(query.Get("topic"))
		changed, end := s.changed, t.first+int64(len(t.records))
		switch {
		case from < t.first || from > end:
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		case from < end || !waiting:
			body := frames(end, t.first, t.records[min(from-t.first, int64(len(t.records))):], maxBytes(query))
			s.mu.Unlock()
			s.reply(w, r, body)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// append takes in the keyed records of a topic of the system's own.
func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	// Only once the body is read does net/http notice that the caller leaves.
	body, err := io.ReadAll(r.Body)
	if err != nil || !s.admit(w, r) {
		return
	}
	name := r.URL.Query().Get("topic")
	if name == TopicOperator || name == TopicServers {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.appending.Lock()
	defer s.appending.Unlock()
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.FormatInt(s.end(name), 10) {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	for len(body) > 0 {
		if len(body) < 5 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n, key := int(binary.BigEndian.Uint32(body)), int(body[4])
		if n > len(body)-4 || key > n-1 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		record := body[4 : 4+n]
		var value []byte
		if 1+key < n {
			value = record[1+key:]
		}
		s.Put(name, string(record[1:1+key]), value)
		body = body[4+n:]
	}
	_, _ = io.WriteString(w, `{"offset":0,"end_offset":1}`)
}

// end is the offset of a topic's next record.
func (s *Store) end(name string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	return t.first + int64(len(t.records))
}

// maxBytes is how much a read returns at most.
func maxBytes(query url.Values) int {
	kb, err := strconv.Atoi(query.Get("max_kb"))
	if err != nil {
		kb = 1024
	}
	return kb << 10
}

// frames encodes records up to about most bytes, the first one whatever its size.
func frames(end, first int64, records []record, most int) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, uint64(first))
	for i, r := range records {
		if i > 0 && len(out)+len(r.value) > most {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
		out = append(out, byte(len(r.key)))
		out = append(out, r.key...)
		out = append(out, r.value...)
	}
	return out
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	page := struct {
		Items []item `json:"items"`
		More  bool   `json:"has_more"`
		End   int64  `json:"end_offset"`
	}{Items: []item{}}
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	page.End = t.first + int64(len(t.records))
	keys := make([]string, 0, len(t.newest))
	for key := range t.newest {
		if key > r.URL.Query().Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	if len(keys) > s.PageSize {
		keys, page.More = keys[:s.PageSize], true
	}
	for _, key := range keys {
		n := t.newest[key]
		page.Items = append(page.Items, item{key, base64.StdEncoding.EncodeToString(n.value), n.offset})
	}
	s.mu.Unlock()
	body, err := json.Marshal(page)
	if err != nil {
		panic(err) // strings and numbers
	}
	s.reply(w, r, body)
}
