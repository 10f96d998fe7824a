package jaycontroller

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/process/jaystore"
	"github.com/jaystile/jaystile/internal/version/jayconfig"
)

// newStaleController returns a controller that holds a configuration without routes. Its
// store answers a read for a newer one, with the route /new/, after delay, whatever the
// timeout of the read.
func newStaleController(delay time.Duration) *Controller {
	c := &Controller{Topics: Topics{ConfigKey: "config"}, storeTransport: &jaystore.Transport{}}
	c.DecodeConfig = func([]byte) (*jayconfig.Config, []error) {
		return jayconfig.NewConfig(2, []jayconfig.Route{{Name: "new", Host: "host", Prefix: "/new/", Public: true}}, nil, nil, jayconfig.Limits{}), nil
	}
	c.config.Store(jayconfig.NewConfig(1, nil, nil, nil, jayconfig.Limits{}))
	newest := func(context.Context, string, string) (jaystore.Page, error) {
		time.Sleep(delay)
		return jaystore.Page{Records: []jaystore.StoredRecord{{Record: jaystore.Record{Key: "config", Value: []byte("2")}}}, End: 1}, nil
	}
	read := func(context.Context, string, uint64, time.Duration) (jaystore.ReadResult, error) {
		return jaystore.ReadResult{Next: 1, End: 1}, nil
	}
	c.operatorTail = &jaystore.Tail{Client: &jaystore.Client{Newest: newest, Read: read}, Apply: c.applyOperatorRecord, OnError: func(error) {}}
	return c
}

// A configuration that comes late, since the process stood still, answers no request that
// has waited for it.
func TestLateConfigurationAnswersNoEarlierRequest(t *testing.T) {
	c := newStaleController(configRefreshTimeout + 100*time.Millisecond)
	_, refusal := c.resolve(context.Background(), Request{Host: "host", Path: "/new/"})
	assert.Equal(t, c.config.Load().Version(), uint64(2))
	assert.Assert(t, refusal != nil && refusal.Outcome == NotNow, "refusal %+v", refusal)
}

// A caller with four attempts retries past outages of up to six seconds, a third longer
// than those seen in the deployments. No retry delay is longer than the outage has
// lasted so far, or a second.
func TestRetriesOutlastAnOutage(t *testing.T) {
	const attempts = 4
	for outage := 500 * time.Millisecond; outage <= 6*time.Second; outage += 100 * time.Millisecond {
		for noticed := storeDownThreshold; noticed < outage; noticed += 300 * time.Millisecond {
			at := noticed
			for range attempts - 1 {
				if at >= outage {
					break
				}
				wait := retryAfterOutage(at)
				assert.Assert(t, wait <= max(at, minRetryAfter) && wait >= minRetryAfter)
				at += wait
			}
			assert.Assert(t, at >= outage, "refused %s into an outage of %s, last attempt at %s", noticed, outage, at)
		}
	}
}

// A store that is back serves the next caller, also before the tails notice its return.
func TestStoreThatIsBackServesTheNextCaller(t *testing.T) {
	for _, c := range []struct {
		name string
		back bool
		want Outcome
	}{{"back", true, Accepted}, {"still away", false, NotNow}} {
		t.Run(c.name, func(t *testing.T) {
			f := newCutLeader(t)
			_, err := f.controller.storeTransport.Do(t.Context(), jaystore.Request{})
			assert.Assert(t, err != nil)
			f.records.Store(c.back)
			response := f.controller.storeRecord(t.Context(), cancelRecord(id, time.Now()), Request{})
			assert.Equal(t, response.Outcome, c.want, "%s", response.Reason)
		})
	}
}
