package main

import (
	"bytes"
	"fmt"

	"github.com/poplarwheel/poplarwheel/internal/emulator"
)

// Size of a panel in pixels, and the space around it.
const (
	panelWidth  = 420
	panelHeight = 160
	margin      = 40
)

// colors are the line colors of the policies.
var colors = map[emulator.Policy]string{
	emulator.Random:    "#999999",
	emulator.Placement: "#1f77b4",
	emulator.Oracle:    "#2ca02c",
}

// drawSVG returns an SVG with a panel for each scenario that shows the share of callers
// answered in time, by window.
func drawSVG(rows []summary) []byte {
	panels := map[string]int{}
	var body bytes.Buffer
	for _, s := range rows {
		name := s.result.Scenario.Name
		index, known := panels[name]
		if !known {
			index = len(panels)
			panels[name] = index
			fmt.Fprintf(&body, "<text x='%d' y='%d' font-size='12'>%s: answered in time, by window of %v</text>\n",
				margin, index*(panelHeight+margin)+margin/2, name, emulator.WindowLength)
		}
		top := index*(panelHeight+margin) + margin
		fmt.Fprintf(&body, "<polyline fill='none' stroke='%s' points='%s'><title>%s</title></polyline>\n",
			colors[s.result.Policy], polylinePoints(s.windows, top), s.result.Policy)
	}
	var out bytes.Buffer
	fmt.Fprintf(&out, "<svg xmlns='http://www.w3.org/2000/svg' width='%d' height='%d'>\n",
		panelWidth+2*margin, len(panels)*(panelHeight+margin)+margin)
	out.Write(body.Bytes())
	out.WriteString("</svg>\n")
	return out.Bytes()
}

func polylinePoints(shares []float64, top int) string {
	var out bytes.Buffer
	for i, share := range shares {
		x := margin + panelWidth*i/max(len(shares)-1, 1)
		y := float64(top) + panelHeight*(1-share)
		fmt.Fprintf(&out, "%d,%.1f ", x, y)
	}
	return out.String()
}
