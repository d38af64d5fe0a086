package mesh

import "context"

// Answer is the handler of messages from children.
func (n *Node) Answer(l *RelayedLists, m *Message) *Message { return n.answer(l, m) }

// WithTransport replaces the calls of other hosts.
func WithTransport(send func(ctx context.Context, to Host, m *Message) (*Message, error)) Option {
	return func(r *Runner) { r.send = send }
}
