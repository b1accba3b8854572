//go:build ignore

// Draws slopes.svg from slopes.tsv: each figure against the number of hosts, on
// logarithmic axes, before and after a change. Run it in this folder:
//
//	go run draw.go
package main

import (
	"bufio"
	"fmt"
	"log"
	"math"
	"os"
	"strconv"
	"strings"

	svg "github.com/ajstarks/svgo"
)

const (
	panelWidth, panelHeight = 300, 190
	marginLeft, marginTop   = 60, 40
	gap                     = 70
	columns                 = 3
)

// series is one figure on one code: its values by number of hosts.
type series struct {
	figure, code string
	values       []float64
}

func main() {
	hosts, all, err := read("slopes.tsv")
	if err != nil {
		log.Fatal(err)
	}
	out, err := os.Create("slopes.svg")
	if err != nil {
		log.Fatal(err)
	}
	defer out.Close()
	draw(svg.New(out), hosts, all)
}

// read reads the table: a line with the numbers of hosts, then one line a series.
func read(name string) (hosts []float64, all []series, err error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, nil, err
	}
	defer file.Close()
	scanner := bufio.NewScanner(file)
	for line := 0; scanner.Scan(); line++ {
		fields := strings.Split(scanner.Text(), "\t")
		if len(fields) < 3 {
			return nil, nil, fmt.Errorf("%s:%d: %d columns, want 3 or more", name, line+1, len(fields))
		}
		var values []float64
		for _, f := range fields[2:] {
			v, err := strconv.ParseFloat(f, 64)
			if err != nil {
				return nil, nil, fmt.Errorf("%s:%d: %w", name, line+1, err)
			}
			values = append(values, v)
		}
		if line == 0 {
			hosts = values
			continue
		}
		all = append(all, series{fields[0], fields[1], values})
	}
	return hosts, all, scanner.Err()
}

// draw draws one panel for each figure.
func draw(canvas *svg.SVG, hosts []float64, all []series) {
	var figures []string
	byFigure := map[string][]series{}
	for _, s := range all {
		if byFigure[s.figure] == nil {
			figures = append(figures, s.figure)
		}
		byFigure[s.figure] = append(byFigure[s.figure], s)
	}
	rows := (len(figures) + columns - 1) / columns
	width, height := columns*(panelWidth+gap)+marginLeft, rows*(panelHeight+gap)+marginTop
	canvas.Start(width, height)
	canvas.Rect(0, 0, width, height, "fill:white")
	canvas.Gstyle("font-family:sans-serif;font-size:12px")
	for i, f := range figures {
		panel(canvas, marginLeft+i%columns*(panelWidth+gap), marginTop+i/columns*(panelHeight+gap), f, hosts, byFigure[f])
	}
	canvas.Gend()
	canvas.End()
}

func panel(canvas *svg.SVG, left, top int, figure string, hosts []float64, all []series) {
	low, high := math.Inf(1), 0.0
	for _, s := range all {
		for _, v := range s.values {
			low, high = min(low, v), max(high, v)
		}
	}
	bottom, ceiling := math.Floor(math.Log10(low)), math.Ceil(math.Log10(high)+0.01)
	x := func(n float64) int {
		first, last := math.Log10(hosts[0]), math.Log10(hosts[len(hosts)-1])
		return left + int(float64(panelWidth)*(math.Log10(n)-first)/(last-first))
	}
	y := func(v float64) int {
		return top + panelHeight - int(float64(panelHeight)*(math.Log10(v)-bottom)/(ceiling-bottom))
	}
	canvas.Text(left, top-10, figure, "font-weight:bold")
	for e := bottom; e <= ceiling; e++ {
		at := y(math.Pow(10, e))
		canvas.Line(left, at, left+panelWidth, at, "stroke:#ddd")
		canvas.Text(left-6, at+4, strconv.FormatFloat(math.Pow(10, e), 'f', -1, 64), "text-anchor:end")
	}
	for _, n := range hosts {
		canvas.Text(x(n), top+panelHeight+16, strconv.FormatFloat(n, 'f', -1, 64), "text-anchor:middle")
	}
	colors := []string{"#9c6b4e", "#4269d0"}
	for i, s := range all {
		style := "stroke:" + colors[i%len(colors)] + ";stroke-width:2;fill:none"
		var xs, ys []int
		for j, v := range s.values {
			xs, ys = append(xs, x(hosts[j])), append(ys, y(v))
			canvas.Circle(x(hosts[j]), y(v), 3, "fill:"+colors[i%len(colors)])
		}
		canvas.Polyline(xs, ys, style)
		canvas.Text(left+8, top+14+14*i, s.code, "fill:"+colors[i%len(colors)])
	}
}
