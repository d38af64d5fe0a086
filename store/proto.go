package store

// Listing is the answer to a list call: one page of objects.
type Listing struct {
	Objects []Object `json:"objects"`
	Version Version  `json:"version"`
	More    bool     `json:"more,omitempty"` // there are further pages
}

// Next returns the name with which a list continues: the last one of a page that could be
// read. What follows it on the page is read again with the next one. The page began after
// the name previous.
func (l Listing) Next(previous string) (string, error) {
	for i := len(l.Objects) - 1; i >= 0; i-- {
		if name := l.Objects[i].Name; name != "" && name != previous {
			return name, nil
		}
	}
	return "", ErrUnavailable("a page of the list has no name that can be read")
}

// Changes is the answer to a watch call.
type Changes struct {
	Events  []Event `json:"events"`
	Version Version `json:"version"`
}

// Answer is the answer to a write.
type Answer struct {
	Version Version `json:"version"`
}
