package budget

const (
	// bytesPerHeadByte is what a byte of a head costs: as received and as a string.
	bytesPerHeadByte = 2
	// bytesPerLine is what a line of a head costs in addition: its place in the map of
	// the headers, which grows by doubling, and its list of values, both once more in
	// the request to the endpoint.
	bytesPerLine = 512
)

// HeadMeter measures the head of a request while it arrives.
type HeadMeter struct {
	bytes, lines int64
	// text is set once the request line has begun, and lineHasText once the current
	// line has.
	text, lineHasText bool
	ended             bool
}

// Add counts a part of what arrives. What follows the end of the head is not counted.
func (m *HeadMeter) Add(part []byte) {
	for _, c := range part {
		if m.ended {
			return
		}
		m.bytes++
		switch c {
		case '\r':
		case '\n':
			m.lines++
			m.ended = m.text && !m.lineHasText
			m.lineHasText = false
		default:
			m.text, m.lineHasText = true, true
		}
	}
}

// Cost returns how much memory the head takes, in bytes.
func (m *HeadMeter) Cost() int64 { return bytesPerHeadByte*m.bytes + bytesPerLine*m.lines }
