package merger

import (
	_ "embed" // the page's template
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
	laneHeight  = 36
	laneOffset  = 40
	leftMargin  = 170
	drawnWidth  = 1200
	rightMargin = 30
	hues        = 360
)

// dot is one event in the drawing.
type dot struct {
	X, Y  int
	Hue   uint32
	Title string
}

// lane is one instance's line in the drawing.
type lane struct {
	Name string
	Y    int
}

// WriteHTML writes one page that draws the events, a line for each instance and a colour for each kind.
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
	}{Width: leftMargin + drawnWidth + rightMargin, Height: laneOffset + laneHeight*len(names), Left: leftMargin}
	for i, n := range names {
		data.Lanes = append(data.Lanes, lane{Name: n, Y: laneOffset + laneHeight*i})
	}
	if len(events) > 0 {
		data.Span = fmt.Sprintf("%d ms", events[len(events)-1].At.WallMs-events[0].At.WallMs)
	}
	for _, e := range events {
		line := strings.TrimSuffix(FormatLine(e), "\n")
		data.Lines = append(data.Lines, line)
		data.Dots = append(data.Dots, dot{X: place(e, events), Y: laneOffset + laneHeight*slices.Index(names, e.Instance),
			Hue: hue(e.Kind), Title: line})
	}
	return page.Execute(w, data)
}

// place returns the horizontal position of an event.
func place(e recorder.Event, events []recorder.Event) int {
	begin := events[0].At.WallMs
	span := max(1, events[len(events)-1].At.WallMs-begin)
	return leftMargin + int(drawnWidth*(e.At.WallMs-begin)/span)
}

func hue(kind string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(kind))
	return h.Sum32() % hues
}
