package follow_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFollow(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "follow")
}
