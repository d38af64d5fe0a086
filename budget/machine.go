package budget

const (
	// ConnectionBytes is what the connection of a caller holds without a request: its
	// read buffer, the stack of its goroutine and its state.
	ConnectionBytes = 16 << 10
	// ExchangeBytes is what a request holds in addition to its header, its body and its
	// response: the read and write buffers of the connection to its target, 16 KiB each,
	// and the stacks of its goroutines.
	ExchangeBytes = 48 << 10
	// SocketBytes is the size of the system's read buffer for a large body, and of its
	// write buffer for a large response.
	SocketBytes = 128 << 10

	// runtimeShare is the soft limit of the Go runtime as a part of the memory of the
	// machine. The rest is for memory that the runtime does not count, such as the
	// program itself and the buffers of sockets.
	runtimeShare = 0.8
	// storePart is the divisor of the memory of the machine that one answer of the store may
	// take, and minStoreAnswer the least that it may: a list of 11 of the largest objects, in
	// base64.
	storePart      = 8
	minStoreAnswer = 16 << 20
	// fileDescriptors are kept for files, or a quarter if there are few in all.
	fileDescriptors = 200
	// peerPart is the divisor of the part that is kept for other hosts and the store.
	peerPart = 12
	// callerPart is the part of the remaining descriptors for callers. The rest is for
	// targets: each request in progress has one connection there, a hedged one two.
	callerPart = 0.6
)

// RuntimeLimit returns the soft memory limit of the Go runtime for a machine with a memory
// in bytes.
func RuntimeLimit(memory int64) int64 { return int64(runtimeShare * float64(memory)) }

// StoreAnswer returns the size in bytes of the largest answer of the store that a machine
// with a memory in bytes reads.
func StoreAnswer(memory int64) int { return int(max(memory/storePart, minStoreAnswer)) }

// Connections divides the descriptors of a process: it returns the largest numbers of
// connections from callers and to targets. The others are kept for files, other hosts and
// the store. Connections of callers use at most half of the account.
func Connections(descriptors int, l Limits) (callers, targets int) {
	rest := descriptors - min(fileDescriptors, descriptors/4) - descriptors/peerPart
	callers = int(callerPart * float64(rest))
	return max(1, min(callers, int(l.Total/2/ConnectionBytes))), max(1, rest-callers)
}
