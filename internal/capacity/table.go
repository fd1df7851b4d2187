package capacity

import (
	"fmt"
	"strings"
)

// Table returns a Markdown table with the points and the fitted line of each
// metric, extrapolated to x = target.
func Table(s *Series, target float64) string {
	var out strings.Builder
	fmt.Fprintf(&out, "| metric | points (x: y) | slope | intercept | residual | at %g |\n|---|---|---|---|---|---|\n", target)
	for _, metric := range s.Metrics {
		line := Fit(s.points[metric])
		fmt.Fprintf(&out, "| %s | %s | %.3g | %.3g | %.2g | %.4g |\n", metric, formatPoints(s.points[metric]),
			line.Slope, line.Intercept, line.Residual, line.At(target))
	}
	return out.String()
}

func formatPoints(points []Point) string {
	texts := make([]string, len(points))
	for i, p := range points {
		texts[i] = fmt.Sprintf("%.4g: %.4g", p.X, p.Y)
	}
	return strings.Join(texts, ", ")
}

// Replace replaces the text between the markers "<!-- name -->" and
// "<!-- /name -->" of a page. It returns false if the page has no such markers.
func Replace(page, name, text string) (string, bool) {
	begin, end := "<!-- "+name+" -->\n", "<!-- /"+name+" -->"
	before, rest, ok := strings.Cut(page, begin)
	if !ok {
		return page, false
	}
	_, after, ok := strings.Cut(rest, end)
	if !ok {
		return page, false
	}
	return before + begin + text + end + after, true
}
