// Package platformstore is a stand-in for the platform's metadata store: keyed
// topics with a single partition, which are read by offset or as the latest
// record of each key. Tests write to it in place of the operator and the backend
// servers, and inject failures.
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

// Topics written by the operator and by the backend servers.
const (
	TopicOperator = "keyed.op"
	TopicServers  = "keyed.servers"
)

// Mode determines how the store responds to calls.
type Mode int

// Modes of the store.
const (
	ModeAvailable    Mode = iota
	ModeUnavailable       // responds with 503 immediately
	ModeUnresponsive      // does not respond until the caller disconnects
)

type record struct {
	key   string
	value []byte
}

type topic struct {
	firstOffset int64 // offset of the oldest retained record
	records     []record
	latest      map[string]latestRecord // by key
}

type latestRecord struct {
	value  []byte
	offset int64
}

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	*httptest.Server

	mu           sync.Mutex
	topics       map[string]*topic
	mode         Mode
	changed      chan struct{} // closed and replaced at each change
	era          int           // sent with all responses; incremented by Restore
	requestCount int
	// PageSize is the maximum number of latest records per page.
	PageSize      int
	chunked       bool // responses use chunked encoding, without Content-Length
	responseDelay time.Duration
	linkMu        sync.Mutex // held while a chunk of a response crosses the link
	// appendMu is held from the check of an append's condition until the append is complete.
	appendMu      sync.Mutex
	chunkDuration time.Duration
}

// chunkBytes is the size of the chunks in which a response crosses a link of
// limited bandwidth.
const chunkBytes = 8 << 10

// SetBandwidth limits the bandwidth that all responses together use; 0 means no
// limit.
func (s *Store) SetBandwidth(bitsPerSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chunkDuration = 0
	if bitsPerSecond > 0 {
		s.chunkDuration = time.Duration(8 * chunkBytes / bitsPerSecond * float64(time.Second))
	}
}

// SetChunked selects whether responses use chunked encoding, without
// Content-Length.
func (s *Store) SetChunked(chunked bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chunked = chunked
}

// SetResponseDelay delays the start of each response.
func (s *Store) SetResponseDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responseDelay = delay
}

// writeResponse writes a response after the configured delay and within the
// configured bandwidth.
func (s *Store) writeResponse(w http.ResponseWriter, r *http.Request, body []byte) {
	s.mu.Lock()
	perPiece, chunked, delay := s.chunkDuration, s.chunked, s.responseDelay
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
			n = min(n, chunkBytes)
			s.linkMu.Lock()
			ok := standin.SleepContext(r.Context(), perPiece*time.Duration(n)/chunkBytes)
			s.linkMu.Unlock()
			if !ok {
				return
			}
		}
		if _, err := w.Write(body[:n]); err != nil || flusher.Flush() != nil {
			return // the caller has disconnected
		}
		body = body[n:]
	}
}

// Start returns an empty store that is served on a local port until Close.
func Start() *Store {
	s := New()
	s.Server = httptest.NewServer(s.Handler())
	return s
}

// New returns an empty store that is not served yet.
func New() *Store {
	return &Store{topics: map[string]*topic{}, changed: make(chan struct{}), PageSize: 500}
}

// Handler serves the store's protocol.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /merlinpost/log-read", s.handleRead)
	mux.HandleFunc("GET /merlinpost/log-newest", s.handleLatest)
	mux.HandleFunc("POST /merlinpost/log-append", s.handleAppend)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Store-Era", strconv.Itoa(s.Era()))
		mux.ServeHTTP(w, r)
	})
}

// Era returns the number of calls of Restore so far.
func (s *Store) Era() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Snapshot is a copy of the store's contents.
type Snapshot struct{ topics map[string]*topic }

// Snapshot returns a copy of the current contents.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{copyTopics(s.topics)}
}

func copyTopics(topics map[string]*topic) map[string]*topic {
	out := map[string]*topic{}
	for name, t := range topics {
		out[name] = &topic{firstOffset: t.firstOffset, records: slices.Clone(t.records), latest: maps.Clone(t.latest)}
	}
	return out
}

// Restore replaces the contents with a snapshot, like a recovery from a backup: records written since the
// snapshot are lost, their offsets are reused, and the era is incremented.
func (s *Store) Restore(snapshot Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics = copyTopics(snapshot.topics)
	s.era++
	s.notifyReaders()
}

// Address returns the IP:PORT of the store.
func (s *Store) Address() string { return s.Listener.Addr().String() }

// SetMode changes how the store responds to calls.
func (s *Store) SetMode(m Mode) {
	s.mu.Lock()
	s.mode = m
	s.notifyReaders()
	s.mu.Unlock()
}

// RequestCount returns the number of calls so far.
func (s *Store) RequestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requestCount
}

// notifyChange wakes the readers that wait for new records. The caller holds mu.
func (s *Store) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// topic returns the named topic and creates it if needed. The caller holds mu.
func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{latest: map[string]latestRecord{}}
		s.topics[name] = t
	}
	return t
}

// Put appends a record; a nil value deletes the key.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	offset := t.firstOffset + int64(len(t.records))
	t.records = append(t.records, record{key, value})
	if value == nil {
		delete(t.latest, key)
	} else {
		t.latest[key] = latestRecord{value, offset}
	}
	s.notifyReaders()
}

// PutJSON appends a record whose value is v as JSON.
func (s *Store) PutJSON(name, key string, v any) {
	value, err := json.Marshal(v)
	if err != nil {
		panic(err) // v comes from a test and must be encodable
	}
	s.Put(name, key, value)
}

// Truncate deletes the records of a topic. The latest record of each key remains
// available to calls for the latest records.
func (s *Store) Truncate(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.firstOffset += int64(len(t.records))
	t.records = nil
	s.notifyReaders()
}

// applyMode counts the call and applies the mode. It returns false if the call must not be processed further.
func (s *Store) applyMode(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	s.requestCount++
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

func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	if !s.applyMode(w, r) {
		return
	}
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("wait_ms")) // 0 if absent
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for timedOut := false; ; {
		s.mu.Lock()
		t := s.topic(query.Get("topic"))
		changed, end := s.changed, t.firstOffset+int64(len(t.records))
		switch {
		case from < t.firstOffset || from > end:
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		case from < end || timedOut:
			body := encodeRecords(end, t.firstOffset, t.records[min(from-t.firstOffset, int64(len(t.records))):], maxReadBytes(query))
			s.mu.Unlock()
			s.writeResponse(w, r, body)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

// handleAppend appends keyed records to a topic. It rejects the topics that only the operator and the backend
// servers may write.
func (s *Store) handleAppend(w http.ResponseWriter, r *http.Request) {
	// net/http detects that the caller has disconnected only after the body has been read.
	body, err := io.ReadAll(r.Body)
	if err != nil || !s.applyMode(w, r) {
		return
	}
	name := r.URL.Query().Get("topic")
	if name == TopicOperator || name == TopicServers {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.appendMu.Lock()
	defer s.appendMu.Unlock()
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.FormatInt(s.endOffset(name), 10) {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	for len(body) > 0 {
		if len(body) < 5 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n, keyLen := int(binary.BigEndian.Uint32(body)), int(body[4])
		if n > len(body)-4 || keyLen > n-1 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		record := body[4 : 4+n]
		var value []byte
		if 1+keyLen < n {
			value = record[1+keyLen:]
		}
		s.Put(name, string(record[1:1+keyLen]), value)
		body = body[4+n:]
	}
	_, _ = io.WriteString(w, `{"offset":0,"end_offset":1}`)
}

// endOffset returns the offset of a topic's next record.
func (s *Store) endOffset(name string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	return t.firstOffset + int64(len(t.records))
}

// maxReadBytes returns the maximum size of a read's response, 1 MiB by default.
func maxReadBytes(query url.Values) int {
	kb, err := strconv.Atoi(query.Get("max_kb"))
	if err != nil {
		kb = 1024
	}
	return kb << 10
}

// encodeRecords encodes records up to about limit bytes. The first record is included whatever its size.
func encodeRecords(end, first int64, records []record, limit int) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, uint64(first))
	for i, r := range records {
		if i > 0 && len(out)+len(r.value) > limit {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
		out = append(out, byte(len(r.key)))
		out = append(out, r.key...)
		out = append(out, r.value...)
	}
	return out
}

// handleLatest returns one page of the latest records, sorted by key.
func (s *Store) handleLatest(w http.ResponseWriter, r *http.Request) {
	if !s.applyMode(w, r) {
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
	page.End = t.firstOffset + int64(len(t.records))
	keys := make([]string, 0, len(t.latest))
	for key := range t.latest {
		if key > r.URL.Query().Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	if len(keys) > s.PageSize {
		keys, page.More = keys[:s.PageSize], true
	}
	for _, key := range keys {
		n := t.latest[key]
		page.Items = append(page.Items, item{key, base64.StdEncoding.EncodeToString(n.value), n.offset})
	}
	s.mu.Unlock()
	body, err := json.Marshal(page)
	if err != nil {
		panic(err) // cannot fail: page holds only strings, integers and booleans
	}
	s.writeResponse(w, r, body)
}
