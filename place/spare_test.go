package place

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"

	"rhubarbdrift.example/model"
)

// TestSpareCold guards against a hedged request to a target that became cold again long
// after its start, in a pool without a limit for cold targets.
func TestSpareCold(t *testing.T) {
	now := time.Unix(0, 0)
	b, update := newCold(now, nil, model.Instance{HasCold: true, Revision: 1})
	spare := func() bool {
		target, _ := b.ChooseSpare(now, Request{Pool: "p"}, rand.IntN)
		return target != nil
	}
	test.True(t, spare())
	now = now.Add(time.Minute)
	update(now, func(i *model.Instance) { i.Revision, i.Cold = 2, 5000 })
	test.False(t, spare())
	now = now.Add(5 * time.Second)
	test.True(t, spare())
}
