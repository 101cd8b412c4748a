package main

import (
	"os/exec"
	"testing"
)

// root is the root of the repository, seen from this folder.
const root = "../.."

// TestSecondReviewCases builds as the deploy file says and runs the script of each case. It fails if a rule is broken
// or a script can't run. It is listed in KNOWN-RED.txt.
func TestSecondReviewCases(t *testing.T) {
	for _, command := range []string{"go build -ldflags=-linkmode=external -o target/ ./cmd/...", "review/build-2.sh"} {
		if out, err := inRoot(command); err != nil {
			t.Fatalf("%s: %v\n%s", command, err, out)
		}
	}
	for _, script := range []string{"review/4/run.sh", "review/5/run.sh", "review/6/run.sh"} {
		t.Run(script, func(t *testing.T) {
			if out, err := inRoot(script); err != nil {
				t.Errorf("%v: %s", err, out)
			}
		})
	}
}

// inRoot runs a command in the root of the repository and returns its output.
func inRoot(command string) (string, error) {
	c := exec.Command("bash", "-c", command)
	c.Dir = root
	out, err := c.CombinedOutput()
	return string(out), err
}
