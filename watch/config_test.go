package watch

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"

	"rhubarbdrift.example/conf"
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
