// Package members is a stand-in for the platform's membership list. Like the real
// list it is eventually consistent: a change becomes visible only after a delay, and
// the entries may be wrong.
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

// pendingChange is a change that becomes visible at visibleAt.
type pendingChange struct {
	member    membership.Member
	visibleAt time.Time
	removed   bool
}

// List is the membership list. It is safe for concurrent use.
type List struct {
	mu      sync.Mutex
	lag     time.Duration
	visible map[string]membership.Member // by name
	pending []pendingChange              // in the order in which they become visible
}

// New returns an empty list whose changes become visible after lag.
func New(lag time.Duration) *List {
	return &List{lag: lag, visible: map[string]membership.Member{}}
}

// Set adds or updates a member or, if removed is set, removes it. The change becomes
// visible after the list's lag.
func (l *List) Set(m membership.Member, removed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, pendingChange{m, time.Now().Add(l.lag), removed})
}

// Members returns the visible members, sorted by name.
func (l *List) Members() []membership.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for len(l.pending) > 0 && !l.pending[0].visibleAt.After(now) {
		change := l.pending[0]
		l.pending = l.pending[1:]
		if change.removed {
			delete(l.visible, change.member.Name)
		} else {
			l.visible[change.member.Name] = change.member
		}
	}
	out := make([]membership.Member, 0, len(l.visible))
	for _, m := range l.visible {
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Handler serves GET /v1/members and, to control the stand-in in tests and
// demos, PUT and DELETE /standin/members.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/members", l.handleList)
	set := func(removed bool) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			var m membership.Member
			if standin.ReadJSON(w, r, &m) {
				l.Set(m, removed)
			}
		}
	}
	mux.HandleFunc("PUT /standin/members", set(false))
	mux.HandleFunc("DELETE /standin/members", set(true))
	return mux
}

// handleList returns all members or, with ?name=, only that one. Clients revalidate
// their copy with the ETag and receive 304 if it is still current.
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
