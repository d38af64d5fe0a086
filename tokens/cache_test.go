package tokens

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbdrift.example/model"
	"rhubarbdrift.example/quota"
)

var regions = []model.Region{"north", "south"}

// instantClient grants tokens at once.
type instantClient struct{}

func (instantClient) RequestTokens(_ context.Context, _ model.Region, _ model.Shard, t quota.TokenRequest) (quota.Grant, error) {
	return quota.Grant{ID: t.Seq, N: max(100_000, t.Tokens), Valid: 500}, nil
}

// slowClient grants tokens after a delay, even if ctx has ended.
type slowClient time.Duration

func (s slowClient) RequestTokens(ctx context.Context, r model.Region, shard model.Shard, t quota.TokenRequest) (quota.Grant, error) {
	time.Sleep(time.Duration(s))
	return instantClient{}.RequestTokens(ctx, r, shard, t)
}

// TestValidity guards against a grant whose validity is counted from the answer
// instead of the token request, and against the use of a grant whose answer
// arrives after its validity has ended.
func TestValidity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &model.Customer{ID: "sugarleaf"}
		start := time.Now()
		cache := New(quota.Origin{Region: "north"}, regions, slowClient(15*time.Millisecond))
		early, err := cache.Admit(t.Context(), c)
		must.NoError(t, err)
		late, err := cache.Admit(t.Context(), c)
		must.NoError(t, err)
		time.Sleep(quota.GrantLifetime - time.Since(start) - time.Nanosecond)
		must.True(t, early.Commit())
		time.Sleep(time.Nanosecond)
		must.False(t, late.Commit())
		must.True(t, early.Commit()) // a retry needs no new admission

		cache = New(quota.Origin{Region: "north"}, regions, slowClient(quota.GrantLifetime))
		_, err = cache.Admit(t.Context(), c)
		must.Error(t, err)
		time.Sleep(quota.GrantLifetime)
		must.Nil(t, cache.account(c.ID).takeToken(time.Now()))
	})
}

// recordingClient grants five tokens to each token request and records the last one.
type recordingClient struct{ lastRequest quota.TokenRequest }

func (r *recordingClient) RequestTokens(_ context.Context, _ model.Region, _ model.Shard, t quota.TokenRequest) (quota.Grant, error) {
	r.lastRequest = t
	return quota.Grant{ID: 7, N: 5, Valid: 500}, nil
}

// TestReturn guards against a planned stop that does not return unused tokens,
// or that returns the tokens of requests that may still be sent.
func TestReturn(t *testing.T) {
	r, c := new(recordingClient), &model.Customer{ID: "sugarleaf"}
	cache := New(quota.Origin{Region: "north"}, regions, r)
	sent, err := cache.Admit(t.Context(), c)
	must.NoError(t, err)
	must.True(t, sent.Commit())
	canceled, err := cache.Admit(t.Context(), c)
	must.NoError(t, err)
	canceled.Cancel()
	_, err = cache.Admit(t.Context(), c) // admitted, but not sent yet
	must.NoError(t, err)
	must.NoError(t, cache.ReturnAll(t.Context()))
	must.Eq(t, []quota.Report{{Grant: 7, Spent: 1, Returned: 3}}, r.lastRequest.Reports)
}

// BenchmarkAdmit measures an admission with a token that is already granted.
func BenchmarkAdmit(b *testing.B) {
	cache := New(quota.Origin{Region: "north"}, regions, instantClient{})
	c := &model.Customer{ID: "sugarleaf", Rate: 1e9, Burst: 1e9}
	b.ReportAllocs()
	for b.Loop() {
		a, err := cache.Admit(b.Context(), c)
		if err != nil || !a.Commit() {
			b.Fatal("not admitted", err)
		}
	}
}

// TestAdmitAllocates guards against allocations in Admit and Commit while a token is free.
func TestAdmitAllocates(t *testing.T) {
	cache := New(quota.Origin{Region: "north"}, regions, instantClient{})
	c := &model.Customer{ID: "sugarleaf"}
	admit := func() {
		a, err := cache.Admit(t.Context(), c)
		must.NoError(t, err)
		must.True(t, a.Commit())
	}
	admit()
	must.Zero(t, testing.AllocsPerRun(1000, admit))
}
