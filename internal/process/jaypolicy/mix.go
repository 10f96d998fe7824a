// Package jaypolicy simulates the scheduler of jaysched and baseline policies on a
// virtual clock with the job mix of a deployment. Study runs them on the same jobs and
// measures the results.
package jaypolicy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/jaystile/jaystile/internal/process/jaypool"
	"github.com/jaystile/jaystile/internal/request/jayjob"
	"github.com/jaystile/jaystile/internal/version/jaymanifest"
)

const (
	workerCount           = 11
	workersPerRack        = 3
	acceleratorsPerWorker = 8
	// maxDeclaredError is the greatest factor by which declared run times are wrong.
	maxDeclaredError = 10.0
	// runtimeSigma makes run times heavy-tailed around their median.
	runtimeSigma     = 1.0
	burstInterval    = 4 * time.Hour
	burstDuration    = 10 * time.Minute
	burstFactor      = 4.0
	workerMTBF       = 40 * time.Hour
	workerRepairTime = 15 * time.Minute
	maxRuntime       = 12 * time.Hour
	minRuntime       = time.Second
)

// JobKind is one kind of job of a mix.
type JobKind struct {
	name          string
	workspace     string
	class         jayjob.Class
	shape         jayjob.Shape
	mean          time.Duration
	idempotent    bool
	checkpointing bool
	weight        float64
}

// Mix is a mix of jobs with the guarantees and weights of a deployment.
type Mix struct {
	name       string
	weights    jaymanifest.Weights
	kinds      []JobKind
	guarantees []jaymanifest.Guarantee
}

// Name returns the name of the deployment.
func (m Mix) Name() string { return m.name }

// UnknownMixError reports an unknown deployment.
type UnknownMixError struct{ Given string }

// Error implements error.
func (e *UnknownMixError) Error() string {
	return fmt.Sprintf("deployment: given %q, allowed: kjaergaard or salish", e.Given)
}

func shape(members, accelerators int, locality jayjob.Locality) jayjob.Shape {
	s, err := jayjob.NewShape(members, accelerators, locality)
	if err != nil {
		panic(fmt.Errorf("shape of a mix: %w", err))
	}
	return s
}

// FindMix returns the mix of a deployment or an UnknownMixError.
func FindMix(name string) (Mix, error) {
	switch name {
	case "kjaergaard":
		return Mix{
			name:    name,
			weights: jaymanifest.NewWeights(0.7, 0.3),
			kinds: []JobKind{
				{name: "replan", workspace: "dispatch", class: jayjob.Standard, shape: shape(2, 8, jayjob.SameRack), mean: 30 * time.Minute, idempotent: true, checkpointing: true, weight: 0.03},
				{name: "pricecheck", workspace: "order-desk", class: jayjob.Urgent, shape: shape(1, 1, jayjob.Anywhere), mean: time.Minute, idempotent: true, weight: 0.7},
				{name: "shelflife", workspace: "warehouse", class: jayjob.Deferrable, shape: shape(1, 4, jayjob.SameWorker), mean: 15 * time.Minute, idempotent: true, checkpointing: true, weight: 0.15},
				{name: "restock", workspace: "purchasing", class: jayjob.Standard, shape: shape(4, 1, jayjob.SameDataCentre), mean: 8 * time.Minute, idempotent: true, checkpointing: true, weight: 0.1},
				{name: "contract", workspace: "purchasing", class: jayjob.Standard, shape: shape(1, 2, jayjob.Anywhere), mean: 10 * time.Minute, weight: 0.02},
			},
			guarantees: []jaymanifest.Guarantee{
				jaymanifest.NewGuarantee("dispatch", "night-plan", shape(2, 8, jayjob.SameRack)),
				jaymanifest.NewGuarantee("order-desk", "quotes", shape(8, 1, jayjob.SameDataCentre)),
				jaymanifest.NewGuarantee("warehouse", "forecast", shape(1, 8, jayjob.SameWorker)),
				jaymanifest.NewGuarantee("purchasing", "batch", shape(4, 1, jayjob.Anywhere)),
			},
		}, nil
	case "salish":
		return Mix{
			name:    name,
			weights: jaymanifest.NewWeights(0.3, 0.7),
			kinds: []JobKind{
				{name: "end-of-day", workspace: "billing", class: jayjob.Standard, shape: shape(3, 8, jayjob.SameRack), mean: 30 * time.Minute, idempotent: true, checkpointing: true, weight: 0.03},
				{name: "clear-slip", workspace: "harbour-desk", class: jayjob.Urgent, shape: shape(1, 1, jayjob.Anywhere), mean: time.Minute, idempotent: true, weight: 0.65},
				{name: "occupancy", workspace: "ports", class: jayjob.Deferrable, shape: shape(1, 4, jayjob.SameWorker), mean: 15 * time.Minute, idempotent: true, checkpointing: true, weight: 0.2},
				{name: "reminders", workspace: "arrears", class: jayjob.Standard, shape: shape(4, 1, jayjob.SameDataCentre), mean: 8 * time.Minute, idempotent: true, checkpointing: true, weight: 0.1},
				{name: "ledger", workspace: "arrears", class: jayjob.Standard, shape: shape(1, 2, jayjob.Anywhere), mean: 10 * time.Minute, weight: 0.02},
			},
			guarantees: []jaymanifest.Guarantee{
				jaymanifest.NewGuarantee("billing", "end-of-day", shape(3, 8, jayjob.SameRack)),
				jaymanifest.NewGuarantee("harbour-desk", "slips", shape(8, 1, jayjob.SameDataCentre)),
				jaymanifest.NewGuarantee("ports", "close-of-day", shape(1, 8, jayjob.SameWorker)),
				jaymanifest.NewGuarantee("arrears", "reminders", shape(4, 1, jayjob.Anywhere)),
			},
		}, nil
	}
	return Mix{}, &UnknownMixError{Given: name}
}

// newPool returns the pool of either deployment: eleven workers of eight
// accelerators, three to a rack, in three data centres.
func newPool() *jaypool.Pool {
	p := jaypool.New()
	for i := range workerCount {
		addWorker(p, i)
	}
	return p
}

func addWorker(p *jaypool.Pool, i int) {
	rack := i / workersPerRack
	p.Add(workerName(i), jaypool.NewLocation(fmt.Sprintf("dc-%d", max(rack-1, 0)), fmt.Sprintf("rack-%d", rack), "cell"), acceleratorsPerWorker)
}

func workerName(i int) string { return fmt.Sprintf("w%02d", i) }

// manifest returns a manifest with the mix's guarantees and weights.
func (m Mix) manifest() (*jaymanifest.Manifest, error) {
	d := jaymanifest.Draft{Deployment: m.name, Weights: m.weights}
	index := map[string]int{}
	for _, g := range m.guarantees {
		i, ok := index[g.Workspace()]
		if !ok {
			i = len(d.Workspaces)
			index[g.Workspace()] = i
			d.Workspaces = append(d.Workspaces, jaymanifest.DraftWorkspace{Name: g.Workspace(), Key: jaymanifest.DeterministicCredential(g.Workspace()), Share: 1})
		}
		d.Workspaces[i].Guarantees = append(d.Workspaces[i].Guarantees, g)
	}
	b, err := d.Encode()
	if err != nil {
		return nil, err
	}
	parsed, err := jaymanifest.Parse(b)
	if err != nil {
		return nil, err
	}
	return parsed.WithVersion(1), nil
}

// task is one job of a run with its actual run time.
type task struct {
	id      string
	spec    jayjob.Spec
	arrived time.Duration
	runtime time.Duration
}

// outage is the time during which one worker is missing.
type outage struct {
	worker   int
	from, to time.Duration
}

// generate returns the random jobs and outages of one run.
func (m Mix) generate(seed uint64, load float64, jobs int) ([]task, []outage, error) {
	random := rand.New(rand.NewPCG(seed, 2026))
	rate := load * workerCount * acceleratorsPerWorker / m.meanJobWork()
	tasks := make([]task, 0, jobs)
	at := time.Duration(0)
	for n := range jobs {
		arrivalRate := rate / (1 + (burstFactor-1)*burstDuration.Seconds()/burstInterval.Seconds())
		if at%burstInterval < burstDuration {
			arrivalRate *= burstFactor
		}
		at += time.Duration(random.ExpFloat64() / arrivalRate * float64(time.Second))
		t, err := m.generateTask(random, n, at)
		if err != nil {
			return nil, nil, err
		}
		tasks = append(tasks, t)
	}
	return tasks, generateOutages(random, at), nil
}

func (m Mix) generateTask(random *rand.Rand, n int, at time.Duration) (task, error) {
	k := m.kinds[m.pickKind(random.Float64())]
	runtime := time.Duration(float64(k.mean) * math.Exp(runtimeSigma*random.NormFloat64()-runtimeSigma*runtimeSigma/2))
	runtime = min(max(runtime, minRuntime), maxRuntime)
	declared := time.Duration(float64(runtime) * math.Pow(maxDeclaredError, 2*random.Float64()-1))
	spec, err := jayjob.New(jayjob.Fields{Workspace: k.workspace, Kind: k.name, Class: k.class, Shape: k.shape, Runtime: declared, Key: "key", Idempotent: k.idempotent, Checkpointing: k.checkpointing})
	return task{id: fmt.Sprintf("%06d", n), spec: spec, arrived: at, runtime: runtime}, err
}

func generateOutages(random *rand.Rand, span time.Duration) []outage {
	var all []outage
	for w := range workerCount {
		for at := time.Duration(0); ; {
			at += time.Duration(random.ExpFloat64() * float64(workerMTBF))
			if at >= span {
				break
			}
			all = append(all, outage{worker: w, from: at, to: at + workerRepairTime})
			at += workerRepairTime
		}
	}
	return all
}

func (m Mix) totalWeight() float64 {
	sum := 0.0
	for _, k := range m.kinds {
		sum += k.weight
	}
	return sum
}

// pickKind returns the index of a kind, with a probability proportional to its
// weight, for a uniform x in [0, 1).
func (m Mix) pickKind(x float64) int {
	x *= m.totalWeight()
	for i, k := range m.kinds {
		if x -= k.weight; x < 0 {
			return i
		}
	}
	return len(m.kinds) - 1
}

// meanJobWork returns the mean work of a job in accelerator-seconds.
func (m Mix) meanJobWork() float64 {
	work := 0.0
	for _, k := range m.kinds {
		work += k.weight * k.mean.Seconds() * float64(k.shape.TotalAccelerators())
	}
	return work / m.totalWeight()
}
