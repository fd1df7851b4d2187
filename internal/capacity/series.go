package capacity

import (
	"encoding/csv"
	"os"
	"slices"
	"strconv"

	"github.com/rotisserie/eris"
)

// Series holds the measurements of one experiment: the points of each metric.
type Series struct {
	// Metrics are the names of the metrics in the order of first use.
	Metrics []string
	points  map[string][]Point
}

// Add adds one measurement of a metric.
func (s *Series) Add(metric string, x, y float64) {
	if s.points == nil {
		s.points = map[string][]Point{}
	}
	if !slices.Contains(s.Metrics, metric) {
		s.Metrics = append(s.Metrics, metric)
	}
	s.points[metric] = append(s.points[metric], Point{x, y})
}

// Points returns the measurements of a metric.
func (s *Series) Points(metric string) []Point { return s.points[metric] }

// csvHeader is the header row of a measurement file.
var csvHeader = []string{"metric", "x", "y"}

// Write writes the series to a CSV file.
func (s *Series) Write(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "write measurements")
	}
	defer func() { _ = file.Close() }()
	writer := csv.NewWriter(file)
	rows := [][]string{csvHeader}
	for _, metric := range s.Metrics {
		for _, p := range s.points[metric] {
			rows = append(rows, []string{metric, formatNumber(p.X), formatNumber(p.Y)})
		}
	}
	if err := writer.WriteAll(rows); err != nil {
		return eris.Wrap(err, "write measurements")
	}
	return file.Close()
}

// significantDigits is the precision of the numbers in a measurement file.
const significantDigits = 5

func formatNumber(x float64) string { return strconv.FormatFloat(x, 'g', significantDigits, 64) }

// Read reads a series from a CSV file written by Write.
func Read(path string) (*Series, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "read measurements")
	}
	defer func() { _ = file.Close() }()
	rows, err := csv.NewReader(file).ReadAll()
	if err != nil || len(rows) == 0 {
		return nil, eris.Wrapf(err, "read measurements of %s", path)
	}
	series := new(Series)
	for _, row := range rows[1:] {
		x, errX := strconv.ParseFloat(row[1], 64)
		y, errY := strconv.ParseFloat(row[2], 64)
		if errX != nil || errY != nil {
			return nil, eris.Errorf("%s: not a number in %v", path, row)
		}
		series.Add(row[0], x, y)
	}
	return series, nil
}
