package admission

// maxClearedFingerprints bounds the fingerprints whose cleared marks are kept.
const maxClearedFingerprints = 4096

// clearedMarks records how many poison marks a fingerprint had when a request
// with it succeeded. The success shows that another request caused those
// deaths, so this host no longer counts these marks.
type clearedMarks struct {
	marks map[string]int
	order []string
}

func newClearedMarks() *clearedMarks { return &clearedMarks{marks: map[string]int{}} }

// clear records that a request with the fingerprint succeeded while the
// fingerprint had this many marks.
func (c *clearedMarks) clear(fingerprint string, marks int) {
	if marks == 0 {
		return
	}
	if _, exists := c.marks[fingerprint]; !exists {
		c.order = append(c.order, fingerprint)
	}
	c.marks[fingerprint] = marks
	if len(c.order) > maxClearedFingerprints {
		delete(c.marks, c.order[0])
		c.order = c.order[1:]
	}
}

// uncleared returns how many of the current marks count. When cleared marks
// have expired, the recorded number is lowered, so that new marks count.
func (c *clearedMarks) uncleared(fingerprint string, marks int) int {
	cleared := c.marks[fingerprint]
	if cleared > marks {
		c.marks[fingerprint] = marks
		return 0
	}
	return marks - cleared
}
