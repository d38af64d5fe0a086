package store

// Listing is the answer to a list call: one page of objects.
type Listing struct {
	Objects []Object `json:"objects"`
	Version Version  `json:"version"`
	More    bool     `json:"more,omitempty"` // there are further pages
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
