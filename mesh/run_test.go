package mesh

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// fresh is a list that this host knows completely.
type fresh struct{}

func (fresh) Known() store.Version                            { return 5 }
func (fresh) Fresh() bool                                     { return true }
func (fresh) Since(store.Version) Relay                       { return Relay{At: 5} }
func (fresh) Take(_ *Relay, _ store.Version, _ time.Duration) {}

// TestLeaveParent guards against reports of a parent that is left because it
// lost the store: each of its many children passed them on, and the limits of
// the fleet counted them many times (sugarleaf-gw-grown trouble-1: half of all
// requests refused).
func TestLeaveParent(t *testing.T) {
	heard := uint32(0)
	n := NewNode(Host{ID: "self", Region: "r"}, time.Now, func(s *Sum) { heard += s.Customers["c"].Taken })
	r := NewRunner(n, &Lists{Clock: func() time.Duration { return 0 }, All: []List{fresh{}}}, nil, func() []Host { return nil })
	n.Take("good")
	known := []store.Version{5}
	lost := &Message{From: "dark", Sum: Sum{Customers: map[model.CustomerID]Use{"c": {Taken: 7}}}, Relays: []Relay{{}}}
	r.fail("dark", errOutOfDate) // it was left before
	n.Take("dark")
	test.False(t, r.accept("dark", lost, known, 0))
	test.Eq(t, 0, heard)
	out := n.Take("good")
	test.Eq(t, 0, out.Customers["c"].Taken)
	test.True(t, r.isDown("dark"))

	// With word from the store again it is a parent like any other.
	found := &Message{From: "dark", Sum: lost.Sum, Relays: []Relay{{At: 5}}}
	n.Take("dark")
	test.True(t, r.accept("dark", found, known, 0))
	test.Eq(t, 7, heard)
	test.False(t, r.isDown("dark"))
}

// TestStoreAway guards against a tree that falls apart while the store is away
// for all: the limits need it.
func TestStoreAway(t *testing.T) {
	n := NewNode(Host{ID: "self", Region: "r"}, time.Now, func(*Sum) {})
	r := NewRunner(n, &Lists{Clock: func() time.Duration { return 0 }, All: []List{old{}}}, nil, func() []Host { return nil })
	for range 5 {
		n.Take("parent")
		test.True(t, r.accept("parent", &Message{Relays: []Relay{{}}}, []store.Version{5}, 0))
	}
}

// old is a list that this host does not know completely.
type old struct{ fresh }

func (old) Fresh() bool { return false }
