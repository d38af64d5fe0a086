package watch

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"

	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/mesh"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// conflictDecoder decodes configurations in which a route and a customer have no region
// in common.
type conflictDecoder struct{}

func (conflictDecoder) Config(value []byte) (model.ConfigVersion, *model.Intent, error) {
	return model.ConfigVersion(len(value)), &model.Intent{Routes: []model.Route{{ID: "a", Regions: []model.Region{"north"}}},
		Customers: []model.Customer{{ID: "b", Regions: []model.Region{"south"}}}}, nil
}

// TestConflictLogged guards against an empty intersection of allowed regions, which may be
// an operator's mistake, that is logged never or more than once for a configuration.
func TestConflictLogged(t *testing.T) {
	var log bytes.Buffer
	c := NewConfigFollower(newScriptedStore(), "config", "main", conflictDecoder{}, conf.NewHolder(), nil, WithLog(zerolog.New(&log)))
	for _, value := range []string{"1", "1", "12", "12"} {
		c.apply(&store.Object{Name: "main", Value: []byte(value)})
	}
	test.Eq(t, 2, strings.Count(log.String(), `"route":"a","customer":"b","pairs":1`))
}

// waitingDecoder decodes a configuration when it is released.
type waitingDecoder struct {
	configDecoder
	release chan struct{}
}

func (d waitingDecoder) Config(value []byte) (model.ConfigVersion, *model.Intent, error) {
	<-d.release
	return d.configDecoder.Config(value)
}

// TestDecodeUnlocked guards against a daemon that does not answer its neighbours while it
// decodes a large configuration, so that they take it for lost.
func TestDecodeUnlocked(t *testing.T) {
	holder, decoder := conf.NewHolder(), waitingDecoder{release: make(chan struct{})}
	targets := NewTargets(newScriptedStore(), "targets", jsonDecoder{}, func(TargetSet) {}, func() time.Duration { return 0 }, func() bool { return true })
	c := NewConfigFollower(newScriptedStore(), "config", "main", decoder, holder, targets)
	u := mesh.ListUpdate{Version: 9, Complete: true, Age: 1, Events: []store.Event{{Object: store.Object{Name: "main", Version: 9, Value: []byte("1234")}}}}
	applied, answered := make(chan struct{}), make(chan mesh.ListUpdate, 1)
	go func() {
		defer close(applied)
		c.ApplyUpdate(&u, 0, c.sinceBoot(), "parent")
	}()
	time.Sleep(50 * time.Millisecond)
	go func() { answered <- c.Since(0, "child") }()
	select {
	case answer := <-answered:
		test.Eq(t, 0, answer.Version)
	case <-time.After(5 * time.Second):
		t.Error("no answer while the configuration is decoded")
	}
	test.Nil(t, holder.Current())
	close(decoder.release)
	<-applied
	test.Eq(t, 4, holder.Current().Version())
	test.Eq(t, 9, c.Version())
}
