package trace

import (
	"fmt"
	"io"
	"time"

	svg "github.com/ajstarks/svgo"
)

const (
	plotWidth, plotHeight = 900, 360
	// plotLeft, plotRight, plotTop and plotBottom are the margins around the bars.
	plotLeft, plotRight, plotTop, plotBottom = 60, 170, 30, 40
	// maxPlotSeconds bounds the number of bars.
	maxPlotSeconds = 3600
)

// plotColors are the colors of the causes, the most frequent first.
var plotColors = []string{"#4269d0", "#efb118", "#ff725c", "#6cc5b0", "#3ca951", "#a463f2", "#97bbf5", "#9c6b4e"}

// Plot writes the losses over time as an SVG file: a bar for each second, divided by
// cause.
func (s *Summary) Plot(w io.Writer) error {
	seconds := int(s.To.Sub(s.From)/time.Second) + 1
	if len(s.Losses) == 0 {
		seconds = 1
	}
	if seconds > maxPlotSeconds {
		return fmt.Errorf("the logs cover %d seconds, a plot at most %d", seconds, maxPlotSeconds)
	}
	causes := s.Causes()
	highest := 1
	for i := range seconds {
		highest = max(highest, sumAt(causes, s.From.Add(time.Duration(i)*time.Second)))
	}
	width, height := plotWidth-plotLeft-plotRight, plotHeight-plotTop-plotBottom
	canvas := svg.New(w)
	canvas.Start(plotWidth, plotHeight)
	canvas.Rect(0, 0, plotWidth, plotHeight, "fill:white")
	canvas.Gstyle("font-family:sans-serif;font-size:12px")
	canvas.Text(plotLeft, 18, "Refused, dropped and unanswered packets per second, by cause")
	for i := range 5 {
		y := plotTop + height - height*i/4
		canvas.Line(plotLeft, y, plotLeft+width, y, "stroke:#ddd")
		canvas.Text(plotLeft-6, y+4, fmt.Sprint(highest*i/4), "text-anchor:end")
	}
	for i := range seconds {
		x, next := plotLeft+width*i/seconds, plotLeft+width*(i+1)/seconds
		base := 0
		for c := range causes {
			n := causes[c].BySecond[s.From.Add(time.Duration(i)*time.Second)]
			top := base + n
			if n > 0 {
				canvas.Rect(x, plotTop+height-height*top/highest, max(next-x-1, 1), height*top/highest-height*base/highest,
					"fill:"+plotColors[c%len(plotColors)])
			}
			base = top
		}
	}
	for i := range 5 {
		at := s.From.Add(time.Duration(seconds*i/4) * time.Second)
		canvas.Text(plotLeft+width*i/4, plotHeight-18, at.Format("15:04:05"), "text-anchor:middle")
	}
	for c := range causes {
		y := plotTop + 14 + 18*c
		canvas.Rect(plotWidth-plotRight+14, y-10, 12, 12, "fill:"+plotColors[c%len(plotColors)])
		canvas.Text(plotWidth-plotRight+32, y, fmt.Sprintf("%s (%d)", causes[c].Cause, causes[c].Count))
	}
	canvas.Gend()
	canvas.End()
	return nil
}

func sumAt(causes []Loss, second time.Time) int {
	sum := 0
	for i := range causes {
		sum += causes[i].BySecond[second]
	}
	return sum
}
