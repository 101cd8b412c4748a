package cli

import (
	"os"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a repeated SIGTERM that cuts off the requests in progress.
func TestOnlyAnInterruptEndsAShutdown(t *testing.T) {
	g := NewWithT(t)
	ctx, stop := notifyStop(t.Context())
	for range 3 {
		g.Expect(syscall.Kill(os.Getpid(), syscall.SIGTERM)).To(Succeed())
		g.Eventually(stop).Should(BeClosed())
		g.Consistently(ctx.Done(), 50*time.Millisecond).ShouldNot(BeClosed())
	}
	g.Expect(syscall.Kill(os.Getpid(), syscall.SIGINT)).To(Succeed())
	g.Eventually(ctx.Done()).Should(BeClosed())
}
