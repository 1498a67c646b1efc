package admin

import (
	"fmt"
	"hash/fnv"
	"html/template"
	"io"
	"slices"

	"verbenaway/core"
)

// Dimensions of the chart in pixels.
const (
	chartWidth   = 1200
	labelWidth   = 220
	rightMargin  = 20
	rowHeight    = 22
	headerHeight = 60
)

type chartRow struct {
	Y     int
	Label string
}

type chartDot struct {
	X, Y  int
	Color string
	Title string
}

type chartTick struct {
	X     int
	Label string
}

type legendEntry struct {
	Color string
	Kind  core.EventKind
	Count int
}

type timelinePage struct {
	Width, Height, Left int
	Rows                []chartRow
	Dots                []chartDot
	Ticks               []chartTick
	Legend              []legendEntry
	Events              []core.Event
}

// WriteTimelineHTML writes the timeline as a self-contained HTML page: a chart with a row for each
// host and a dot for each event, followed by a table of the events.
func WriteTimelineHTML(out io.Writer, timeline []core.Event) error {
	return pageTemplate.Execute(out, newTimelinePage(timeline))
}

func newTimelinePage(timeline []core.Event) timelinePage {
	var hosts []core.HostName
	counts := map[core.EventKind]int{}
	for _, event := range timeline {
		if !slices.Contains(hosts, event.Host) {
			hosts = append(hosts, event.Host)
		}
		counts[event.Kind]++
	}
	slices.Sort(hosts)
	p := timelinePage{
		Width:  chartWidth,
		Height: headerHeight + rowHeight*(len(hosts)+1),
		Left:   labelWidth,
		Events: timeline,
	}
	for i, host := range hosts {
		p.Rows = append(p.Rows, chartRow{
			Y:     rowY(i),
			Label: string(host),
		})
	}
	for _, info := range core.EventKinds {
		if counts[info.Kind] > 0 {
			p.Legend = append(p.Legend, legendEntry{
				Color: kindColor(info.Kind),
				Kind:  info.Kind,
				Count: counts[info.Kind],
			})
		}
	}
	if len(timeline) > 0 {
		p.addEvents(timeline, hosts)
	}
	return p
}

// addEvents adds the dots of the events and the ticks of the time axis.
func (p *timelinePage) addEvents(timeline []core.Event, hosts []core.HostName) {
	first := timeline[0].Time.Wall
	span := max(timeline[len(timeline)-1].Time.Wall-first, 1)
	x := func(wall int64) int {
		return labelWidth + int((wall-first)*(chartWidth-labelWidth-rightMargin)/span)
	}
	for _, event := range timeline {
		row := slices.Index(hosts, event.Host)
		p.Dots = append(p.Dots, chartDot{
			X:     x(event.Time.Wall),
			Y:     rowY(row),
			Color: kindColor(event.Kind),
			Title: fmt.Sprintf("%s %s version %d %s %s", event.Time.Time().UTC().Format("15:04:05.000"),
				event.Kind, event.Version, event.Subject, event.Detail),
		})
	}
	const intervals = 8
	for i := range int64(intervals + 1) {
		p.Ticks = append(p.Ticks, chartTick{
			X:     x(first + span*i/intervals),
			Label: fmt.Sprintf("+%.1f s", float64(span*i/intervals)/1000),
		})
	}
}

func rowY(row int) int {
	return headerHeight + rowHeight*row + rowHeight/2
}

// kindColor derives the color of an event kind from a hash of its name.
func kindColor(kind core.EventKind) string {
	digest := fnv.New32a()
	_, _ = digest.Write([]byte(kind))
	return fmt.Sprintf("hsl(%d,70%%,42%%)", digest.Sum32()%360)
}

var pageTemplate = template.Must(template.New("timeline").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>verbenaway timeline</title>
<style>body{font:13px sans-serif;margin:16px}table{border-collapse:collapse}td,th{padding:2px 8px;text-align:left;border-bottom:1px solid #ddd}.key{display:inline-block;margin:2px 10px 2px 0}.key i{display:inline-block;width:10px;height:10px;border-radius:5px;margin-right:4px}</style>
</head><body>
<h1>Timeline</h1>
<p>{{range .Legend}}<span class="key"><i style="background:{{.Color}}"></i>{{.Kind}} ({{.Count}})</span>{{end}}</p>
<svg xmlns="http://www.w3.org/2000/svg" width="{{.Width}}" height="{{.Height}}">
{{$p := .}}{{range .Ticks}}<line x1="{{.X}}" y1="40" x2="{{.X}}" y2="{{$p.Height}}" stroke="#eee"/><text x="{{.X}}" y="32" font-size="11" text-anchor="middle">{{.Label}}</text>
{{end}}{{range .Rows}}<line x1="{{$p.Left}}" y1="{{.Y}}" x2="{{$p.Width}}" y2="{{.Y}}" stroke="#ccc"/><text x="4" y="{{.Y}}" dy="4" font-size="12">{{.Label}}</text>
{{end}}{{range .Dots}}<circle cx="{{.X}}" cy="{{.Y}}" r="5" fill="{{.Color}}" fill-opacity="0.7"><title>{{.Title}}</title></circle>
{{end}}</svg>
<h2>Events</h2>
<table><tr><th>time (UTC)</th><th>host</th><th>az</th><th>event</th><th>version</th><th>subject</th><th>detail</th></tr>
{{range .Events}}<tr><td>{{.Time.Time.UTC.Format "15:04:05.000"}}</td><td>{{.Host}}</td><td>{{.AvailabilityZone}}</td><td>{{.Kind}}</td><td>{{.Version}}</td><td>{{.Subject}}</td><td>{{.Detail}}</td></tr>
{{end}}</table></body></html>
`))
