package chart

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/simulate"
)

func TestChartShowsMeanOverSeeds(t *testing.T) {
	g := NewWithT(t)
	result := func(onTime int) []simulate.ClassResult {
		return []simulate.ClassResult{{Name: "report", Requests: 10, OnTime: onTime}, {Name: "advice", Requests: 10, OnTime: 10}}
	}
	s := MeanSeries(simulate.Production, [][]simulate.ClassResult{result(4), result(8)})
	g.Expect(s.OnTimeShares[0]).To(BeNumerically("~", 0.6, 1e-9))
	g.Expect(s.OnTimeShares[1]).To(BeNumerically("~", 1, 1e-9))
	var text strings.Builder
	g.Expect(Write(&text, ClassNames(result(1)), []Series{s})).To(Succeed())
	g.Expect(text.String()).To(ContainSubstring("report: share in time\nproduct  " + strings.Repeat("#", 30) + "  0.600\n"))
	g.Expect(text.String()).To(ContainSubstring("advice: share in time\nproduct  " + strings.Repeat("#", barLength) + "  1.000\n"))
}
