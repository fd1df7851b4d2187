package admission

// maxClearedFingerprints bounds the fingerprints that are remembered as harmless.
const maxClearedFingerprints = 4096

// clearedMarks remembers how many poison marks a fingerprint had when a
// request with it finished well. Those marks were another request's fault
// and count no more at this host.
type clearedMarks struct {
	marks map[string]int
	order []string
}

func newClearedMarks() *clearedMarks { return &clearedMarks{marks: map[string]int{}} }

// clear forgives the marks that a fingerprint has now.
func (c *clearedMarks) clear(fingerprint string, marks int) {
	if marks == 0 {
		return
	}
	if _, known := c.marks[fingerprint]; !known {
		c.order = append(c.order, fingerprint)
	}
	c.marks[fingerprint] = marks
	if len(c.order) > maxClearedFingerprints {
		delete(c.marks, c.order[0])
		c.order = c.order[1:]
	}
}

// uncleared returns how many of the marks count. Forgiven marks that have
// expired since make no room for new ones.
func (c *clearedMarks) uncleared(fingerprint string, marks int) int {
	forgiven := c.marks[fingerprint]
	if forgiven > marks {
		c.marks[fingerprint] = marks
		return 0
	}
	return marks - forgiven
}
