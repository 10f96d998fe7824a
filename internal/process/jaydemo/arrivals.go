package jaydemo

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/jaystile/jaystile/internal/process/jaystandin"
	"github.com/jaystile/jaystile/pkg/jayapi"
	"github.com/jaystile/jaystile/pkg/jayclient"
)

// arrival is one job that arrives at a moment.
type arrival struct {
	at    time.Duration
	kind  JobKind
	token string
	body  jayapi.Submission
}

const (
	// runtimeSigma spreads run times log-normally around their mean.
	runtimeSigma = 0.6
	// declaredError is the greatest factor by which declared run times are off.
	declaredError = 10
	burstEvery    = 5 * time.Second
	burstLength   = 500 * time.Millisecond
	burstFactor   = 3.0
)

// arrivals draws the jobs of a run: a Poisson stream with bursts, at the given
// share of the pool's accelerators.
func arrivals(d Deployment, seed uint64, span time.Duration, load float64) []arrival {
	random := rand.New(rand.NewPCG(seed, 42))
	rate := load * workers * accelerators / workPerArrival(d)
	var all []arrival
	at := time.Duration(0)
	for n := 0; ; n++ {
		r := rate
		if at%burstEvery < burstLength {
			r *= burstFactor
		}
		at += time.Duration(random.ExpFloat64() / r * float64(time.Second))
		if at >= span {
			return all
		}
		all = append(all, newArrival(random, pick(random, d), at, fmt.Sprintf("%s-%d-%d", d.name, seed, n)))
	}
}

// workPerArrival returns the mean accelerator seconds of one arrival.
func workPerArrival(d Deployment) float64 {
	work, weight := 0.0, 0.0
	for _, k := range d.kinds {
		work += k.Weight * k.MeanRuntime.Seconds() * float64(k.Shape.TotalAccelerators())
		weight += k.Weight
	}
	return work / weight
}

func pick(random *rand.Rand, d Deployment) JobKind {
	sum := 0.0
	for _, k := range d.kinds {
		sum += k.Weight
	}
	x := random.Float64() * sum
	for _, k := range d.kinds {
		if x -= k.Weight; x < 0 {
			return k
		}
	}
	return d.kinds[len(d.kinds)-1]
}

func newArrival(random *rand.Rand, k JobKind, at time.Duration, token string) arrival {
	spread := math.Exp(runtimeSigma*random.NormFloat64() - runtimeSigma*runtimeSigma/2)
	runtime := time.Duration(float64(k.MeanRuntime) * spread)
	declared := time.Duration(float64(runtime) * math.Pow(declaredError, 2*random.Float64()-1))
	payload, err := json.Marshal(jaystandin.Program{Millis: runtime.Milliseconds(), Answer: token})
	if err != nil {
		panic(fmt.Errorf("demo payload: %w", err))
	}
	a := arrival{at: at, kind: k, token: token, body: jayapi.Submission{
		Kind:           k.Name,
		Class:          k.Class.String(),
		Members:        k.Shape.Members(),
		Accelerators:   k.Shape.Accelerators(),
		Near:           k.Shape.Locality().String(),
		Payload:        payload,
		RuntimeMillis:  declared.Milliseconds(),
		DeadlineMillis: k.Deadline.Milliseconds(),
		Idempotent:     k.Idempotent,
		Checkpointing:  k.Checkpointing,
		Wait:           true,
	}}
	if !k.Idempotent {
		a.body.Key = jayclient.NewKey()
	}
	return a
}
