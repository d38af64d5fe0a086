package store

// Listing is the answer to a list call in the platform's protocol.
type Listing struct {
	Objects []Object `json:"objects"`
	Version Version  `json:"version"`
	More    bool     `json:"more,omitempty"` // further objects follow after the last one
}

// Changes is the answer to a watch call in the platform's protocol.
type Changes struct {
	Events  []Event `json:"events"`
	Version Version `json:"version"`
}

// Answer is the answer to a write in the platform's protocol.
type Answer struct {
	Version Version `json:"version"`
}
