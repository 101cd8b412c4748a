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

func TestPersistentConfigurationLagIsLoggedOnce(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	monitor := lagMonitor{logger: slog.New(slog.NewTextHandler(&out, nil))}
	now := time.Unix(100, 0)
	observe := func(inForce, newest int64, after time.Duration) string {
		out.Reset()
		now = now.Add(after)
		monitor.update(inForce, newest, errors.New("cut"), time.Second, now)
		return out.String()
	}
	g.Expect(observe(3, 3, 0)).To(BeEmpty())
	g.Expect(observe(3, 5, 0)).To(BeEmpty())
	g.Expect(observe(3, 5, time.Second)).To(BeEmpty())
	line := observe(3, 6, time.Millisecond)
	for _, part := range []string{"configuration behind", "config=3", "newest_heard=6", "behind=1.001s", "why=cut"} {
		g.Expect(line).To(ContainSubstring(part))
	}
	g.Expect(observe(3, 6, time.Second)).To(BeEmpty())
	g.Expect(strings.Count(observe(6, 6, time.Second), "configuration caught up")).To(Equal(1))
	g.Expect(observe(6, 6, time.Second)).To(BeEmpty())
}
