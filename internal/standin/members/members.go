// Package members stands in for the platform's membership list, which lags:
// a change shows only after a delay, and may be wrong.
package members

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/merlinpost/merlinpost/internal/membership"
	"github.com/merlinpost/merlinpost/internal/standin"
)

type entry struct {
	member membership.Member
	shows  time.Time
	gone   bool
}

// List is the membership list.
type List struct {
	mu      sync.Mutex
	lag     time.Duration
	visible map[string]membership.Member
	pending []entry
}

// New returns an empty list whose changes show after lag.
func New(lag time.Duration) *List {
	return &List{lag: lag, visible: map[string]membership.Member{}}
}

// Set puts a member on the list, or with gone takes it off.
func (l *List) Set(m membership.Member, gone bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, entry{m, time.Now().Add(l.lag), gone})
}

// Members returns what the list shows now.
func (l *List) Members() []membership.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for len(l.pending) > 0 && !l.pending[0].shows.After(now) {
		e := l.pending[0]
		l.pending = l.pending[1:]
		if e.gone {
			delete(l.visible, e.member.Name)
		} else {
			l.visible[e.member.Name] = e.member
		}
	}
	out := make([]membership.Member, 0, len(l.visible))
	for _, m := range l.visible {
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Handler serves GET /v1/members and, for tests and demos, PUT and DELETE
// /standin/members.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/members", l.handleList)
	change := func(gone bool) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			var m membership.Member
			if standin.ReadJSON(w, r, &m) {
				l.Set(m, gone)
			}
		}
	}
	mux.HandleFunc("PUT /standin/members", change(false))
	mux.HandleFunc("DELETE /standin/members", change(true))
	return mux
}

// handleList answers with all members or, with ?name=, with that one. The ETag
// lets a reader skip a list that it has.
func (l *List) handleList(w http.ResponseWriter, r *http.Request) {
	list := l.Members()
	if name := r.URL.Query().Get("name"); name != "" {
		list = slices.DeleteFunc(list, func(m membership.Member) bool { return m.Name != name })
	}
	data, err := json.Marshal(list)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	etag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(data), 16))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
