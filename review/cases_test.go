// Package review holds the cases of an independent review. Its test is not part of the default test run.
package review

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// TestReviewCases builds the programs and runs the script of each case. It fails while a rule is broken.
func TestReviewCases(t *testing.T) {
	build := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", "target/", "./cmd/...")
	build.Dir = ".."
	for _, command := range []*exec.Cmd{build, exec.Command("./build.sh")} {
		if output, err := command.CombinedOutput(); err != nil {
			t.Fatalf("%s: %v\n%s", command, err, output)
		}
	}
	scripts, err := filepath.Glob("[0-9]/run.sh")
	if err != nil || len(scripts) == 0 {
		t.Fatalf("no scripts found: %v", err)
	}
	for _, script := range scripts {
		t.Run(filepath.Dir(script), func(t *testing.T) {
			command := exec.Command("./" + script)
			command.Env = os.Environ()
			output, err := command.CombinedOutput()
			var exit *exec.ExitError
			switch {
			case err == nil:
				t.Logf("the rule held:\n%s", output)
			case errors.As(err, &exit) && exit.ExitCode() == 1:
				t.Errorf("the rule was broken:\n%s", output)
			default:
				t.Fatalf("the case could not run: %v\n%s", err, output)
			}
		})
	}
}
