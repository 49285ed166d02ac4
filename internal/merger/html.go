package merger

import (
	_ "embed" // for the page template
	"fmt"
	"hash/fnv"
	"html/template"
	"io"
	"slices"
	"strings"

	"github.com/papayaworks/papayaworks/pkg/recorder"
)

//go:embed timeline.html
var pageText string

var page = template.Must(template.New("timeline").Parse(pageText))

const (
	// Layout of the drawing, in pixels.
	laneHeight  = 36
	laneOffset  = 40
	leftMargin  = 170
	plotWidth   = 1200
	rightMargin = 30
	// hues is the number of hue values in CSS hsl colours.
	hues = 360
)

// dot is the mark of one event.
type dot struct {
	X, Y  int
	Hue   uint32
	Title string
}

// lane is the horizontal line of one instance.
type lane struct {
	Name string
	Y    int
}

// WriteHTML writes a page that draws the events of a merged sequence, with one line per instance and one colour per kind, and
// lists them below.
func WriteHTML(w io.Writer, events []recorder.Event) error {
	var names []string
	for _, e := range events {
		if !slices.Contains(names, e.Instance) {
			names = append(names, e.Instance)
		}
	}
	slices.Sort(names)
	data := struct {
		Width, Height, Left int
		Lanes               []lane
		Dots                []dot
		Lines               []string
		Span                string
	}{Width: leftMargin + plotWidth + rightMargin, Height: laneOffset + laneHeight*len(names), Left: leftMargin}
	for i, n := range names {
		data.Lanes = append(data.Lanes, lane{Name: n, Y: laneOffset + laneHeight*i})
	}
	if len(events) > 0 {
		data.Span = fmt.Sprintf("%d ms", events[len(events)-1].At.WallMs-events[0].At.WallMs)
	}
	for _, e := range events {
		line := strings.TrimSuffix(FormatLine(e), "\n")
		data.Lines = append(data.Lines, line)
		data.Dots = append(data.Dots, dot{X: dotX(e, events), Y: laneOffset + laneHeight*slices.Index(names, e.Instance),
			Hue: hue(e.Kind), Title: line})
	}
	return page.Execute(w, data)
}

// dotX returns the horizontal position of an event, in pixels.
func dotX(e recorder.Event, events []recorder.Event) int {
	start := events[0].At.WallMs
	span := max(1, events[len(events)-1].At.WallMs-start)
	return leftMargin + int(plotWidth*(e.At.WallMs-start)/span)
}

func hue(kind string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(kind))
	return h.Sum32() % hues
}
