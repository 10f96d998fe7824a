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

// arrival is one job and when it is submitted.
type arrival struct {
	// at counts from the start of the run.
	at   time.Duration
	kind JobKind
	// token is unique to the job; its program returns it as the answer.
	token string
	body  jayapi.Submission
}

const (
	// runtimeSigma is the sigma of the log-normal distribution of run times.
	runtimeSigma = 0.6
	// maxDeclaredFactor bounds the ratio of declared to real run time, in both
	// directions.
	maxDeclaredFactor = 10
	burstInterval     = 5 * time.Second
	burstDuration     = 500 * time.Millisecond
	burstFactor       = 3.0
)

// generateArrivals draws the jobs of a run: a Poisson process with bursts. Outside
// bursts the jobs offer the given load, as a share of the pool's accelerators.
func generateArrivals(d Deployment, seed uint64, duration time.Duration, load float64) []arrival {
	random := rand.New(rand.NewPCG(seed, 42))
	rate := load * workers * accelerators / workPerArrival(d)
	var arrivals []arrival
	at := time.Duration(0)
	for n := 0; ; n++ {
		r := rate
		if at%burstInterval < burstDuration {
			r *= burstFactor
		}
		at += time.Duration(random.ExpFloat64() / r * float64(time.Second))
		if at >= duration {
			return arrivals
		}
		arrivals = append(arrivals, newArrival(random, drawKind(random, d), at, fmt.Sprintf("%s-%d-%d", d.name, seed, n)))
	}
}

// workPerArrival returns the mean work of one job, in accelerator seconds.
func workPerArrival(d Deployment) float64 {
	work, weight := 0.0, 0.0
	for _, k := range d.kinds {
		work += k.Weight * k.MeanRuntime.Seconds() * float64(k.Shape.TotalAccelerators())
		weight += k.Weight
	}
	return work / weight
}

func drawKind(random *rand.Rand, d Deployment) JobKind {
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
	factor := math.Exp(runtimeSigma*random.NormFloat64() - runtimeSigma*runtimeSigma/2)
	runtime := time.Duration(float64(k.MeanRuntime) * factor)
	declared := time.Duration(float64(runtime) * math.Pow(maxDeclaredFactor, 2*random.Float64()-1))
	payload, err := json.Marshal(jaystandin.Program{Millis: runtime.Milliseconds(), Answer: token})
	if err != nil {
		panic(fmt.Errorf("encode demo payload: %w", err))
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
