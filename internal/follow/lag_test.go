package follow

import (
	"bytes"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestAConfigurationThatStaysBehindIsSaidOnce(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	l := lag{logger: slog.New(slog.NewTextHandler(&out, nil))}
	now := time.Unix(100, 0)
	note := func(inForce, newest int64, after time.Duration) string {
		out.Reset()
		now = now.Add(after)
		l.note(inForce, newest, errors.New("cut"), time.Second, now)
		return out.String()
	}
	g.Expect(note(3, 3, 0)).To(BeEmpty())
	g.Expect(note(3, 5, 0)).To(BeEmpty())
	g.Expect(note(3, 5, time.Second)).To(BeEmpty())
	line := note(3, 6, time.Millisecond)
	for _, part := range []string{"configuration behind", "config=3", "newest_heard=6", "behind=1.001s", "why=cut"} {
		g.Expect(line).To(ContainSubstring(part))
	}
	g.Expect(note(3, 6, time.Second)).To(BeEmpty())
	g.Expect(strings.Count(note(6, 6, time.Second), "configuration caught up")).To(Equal(1))
	g.Expect(note(6, 6, time.Second)).To(BeEmpty())
}
