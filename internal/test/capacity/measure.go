package capacity

import (
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"time"
)

// Effort sets how much measurement a point gets.
type Effort struct {
	Repeats int
	CPU     time.Duration // minimum of one repeat, unless it reaches Most operations first
	Most    int           // operations in one repeat
}

// probe is a series with the means to measure it.
type probe struct {
	Series
	sizes   []int
	prepare func(size int) (*subject, error)
}

// subject is what a probe measures at one size: the CPU time of an operation, or a figure such as a number of bytes.
type subject struct {
	operate func() error             // one operation
	figure  func() (float64, error)  // measured if operate is nil
	unit    time.Duration            // of the point's values
	parts   int                      // of one operation; its cost is divided by them; 0 counts as 1
	once    bool                     // a repeat has exactly one operation
	check   func(operated int) error // optional; verifies that the operations did all their work
	end     func()                   // optional; releases what the subject holds
}

// measure measures all points of a probe and fits them.
func (p probe) measure(e Effort) (Series, error) {
	s := p.Series
	for _, size := range p.sizes {
		point, err := p.point(size, e)
		if err != nil {
			return s, fmt.Errorf("%s at %d: %w", s.Name, size, err)
		}
		s.Points = append(s.Points, point)
	}
	var err error
	s.Fit, err = fit(s.Form, s.Points)
	return s, err
}

func (p probe) point(size int, e Effort) (Point, error) {
	subject, err := p.prepare(size)
	if err != nil {
		return Point{}, err
	}
	if subject.end != nil {
		defer subject.end()
	}
	if subject.operate == nil {
		return p.figures(size, subject, e)
	}
	point := Point{X: float64(size)}
	var costs []float64
	for range e.Repeats {
		cost, count, err := subject.repeat(e)
		if err != nil {
			return point, err
		}
		costs = append(costs, cost)
		point.Count += count
	}
	if subject.check != nil {
		if err := subject.check(point.Count); err != nil {
			return point, err
		}
	}
	return point.summarized(costs), nil
}

// figures reads a figure Effort.Repeats times.
func (p probe) figures(size int, s *subject, e Effort) (Point, error) {
	point := Point{X: float64(size), Count: e.Repeats}
	var values []float64
	for range e.Repeats {
		value, err := s.figure()
		if err != nil {
			return point, err
		}
		values = append(values, value)
	}
	return point.summarized(values), nil
}

// repeat runs as many operations as the effort requires and returns their mean cost.
func (s *subject) repeat(e Effort) (cost float64, count int, err error) {
	runtime.GC() // so that garbage of earlier work is not collected during this repeat
	began := cpuTime()
	spent := time.Duration(0)
	for count == 0 || !s.once && spent < e.CPU && count < e.Most {
		if err := s.operate(); err != nil {
			return 0, count, err
		}
		count++
		spent = cpuTime() - began
	}
	parts := float64(max(1, s.parts))
	return float64(spent) / float64(count) / parts / float64(s.unit), count, nil
}

// summarized returns the point with the median and the range of its repeats.
func (p Point) summarized(values []float64) Point {
	slices.Sort(values)
	p.Repeats = len(values)
	p.Median, p.Low, p.High = round(values[len(values)/2]), round(values[0]), round(values[len(values)-1])
	return p
}

// cpuTime returns the CPU time that this process has used so far, in user and system mode.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
