// Package jaydemo runs a whole deployment in one process over loopback: a
// simulated platform, real entries and real agents, with jobs drawn from a seed
// and optional faults. At the end it compares the results that callers received
// with the records of the workers and runners.
package jaydemo

import (
	"fmt"
	"time"

	"github.com/jaystile/jaystile/internal/request/jayjob"
	"github.com/jaystile/jaystile/internal/version/jaymanifest"
)

const (
	workers        = 11
	workersPerRack = 3
	accelerators   = 8
	runnerSlots    = 8
	connections    = 64
)

// JobKind describes one kind of job of a deployment.
type JobKind struct {
	Name          string
	Workspace     string
	Class         jayjob.Class
	Shape         jayjob.Shape
	MeanRuntime   time.Duration
	Deadline      time.Duration
	Idempotent    bool
	Checkpointing bool
	// Weight is the kind's share of all arrivals, relative to the other kinds.
	Weight float64
}

// Deployment describes one of the first two deployments of jaystile.
type Deployment struct {
	name        string
	service     string
	dataCentres []string
	weights     jaymanifest.Weights
	workspaces  []jaymanifest.DraftWorkspace
	kinds       []JobKind
}

// Name returns the deployment's name.
func (d Deployment) Name() string { return d.name }

// JobKinds returns the kinds of jobs that arrive.
func (d Deployment) JobKinds() []JobKind { return d.kinds }

// Service returns the name of the service that the runners provide.
func (d Deployment) Service() string { return d.service }

// Location is the data centre, rack and cell of a worker.
type Location struct{ DataCentre, Rack, Cell string }

// WorkerLocation returns the location of a worker by its index. A rack holds three
// workers; the first data centre has two racks, the others have one.
func (d Deployment) WorkerLocation(worker int) Location {
	rack := worker / workersPerRack
	dataCentre := d.dataCentres[max(rack-1, 0)]
	return Location{DataCentre: dataCentre, Rack: fmt.Sprintf("rack-%d", rack+1), Cell: "cell-1"}
}

// EntryDataCentre returns the data centre of an entry by its index.
func (d Deployment) EntryDataCentre(entry int) string { return d.dataCentres[entry%len(d.dataCentres)] }

// WorkspaceKey returns the key of a workspace's callers in the demonstration.
func WorkspaceKey(workspace string) string { return "demo-key-" + workspace }

// OperatorKey is the key of operators in the demonstration.
const OperatorKey = "demo-operator-key"

// Manifest returns the deployment's encoded manifest, to be published on top of
// the base version.
func (d Deployment) Manifest(base uint64) ([]byte, error) {
	return jaymanifest.Draft{Base: base, Deployment: d.name, Weights: d.weights, Workspaces: d.workspaces}.Encode()
}

// UnknownDeploymentError reports an unknown deployment name.
type UnknownDeploymentError struct{ Name string }

// Error implements error.
func (e *UnknownDeploymentError) Error() string {
	return fmt.Sprintf("deployment: given %q, allowed: kjaergaard or salish", e.Name)
}

// FindDeployment returns a deployment by its name, or an UnknownDeploymentError.
func FindDeployment(name string) (Deployment, error) {
	switch name {
	case "kjaergaard":
		return kjaergaard(), nil
	case "salish":
		return salish(), nil
	}
	return Deployment{}, &UnknownDeploymentError{Name: name}
}

func mustShape(members, accelerators int, locality jayjob.Locality) jayjob.Shape {
	s, err := jayjob.NewShape(members, accelerators, locality)
	if err != nil {
		panic(fmt.Errorf("shape of a demo job: %w", err))
	}
	return s
}

func newWorkspace(name string, quota, share int, guarantees ...jaymanifest.Guarantee) jaymanifest.DraftWorkspace {
	return jaymanifest.DraftWorkspace{Name: name, Key: jaymanifest.DeterministicCredential(WorkspaceKey(name)), Quota: quota, Share: share, Guarantees: guarantees}
}

func kjaergaard() Deployment {
	return Deployment{
		name:        "kjaergaard",
		service:     "ordrevagt",
		dataCentres: []string{"fryserum-a", "fryserum-b", "kontorhal"},
		weights:     jaymanifest.NewWeights(0.7, 0.3),
		workspaces: []jaymanifest.DraftWorkspace{
			newWorkspace("dispatch", 64, 3, jaymanifest.NewGuarantee("dispatch", "night-plan", mustShape(2, 8, jayjob.SameRack))),
			newWorkspace("order-desk", 64, 3, jaymanifest.NewGuarantee("order-desk", "quotes", mustShape(8, 1, jayjob.SameDataCentre))),
			newWorkspace("warehouse", 64, 1, jaymanifest.NewGuarantee("warehouse", "forecast", mustShape(1, 8, jayjob.SameWorker))),
			newWorkspace("purchasing", 40, 1, jaymanifest.NewGuarantee("purchasing", "batch", mustShape(4, 1, jayjob.Anywhere))),
		},
		kinds: []JobKind{
			{Name: "replan", Workspace: "dispatch", Class: jayjob.Standard, Shape: mustShape(2, 8, jayjob.SameRack), MeanRuntime: 1500 * time.Millisecond, Idempotent: true, Checkpointing: true, Weight: 0.04},
			{Name: "pricecheck", Workspace: "order-desk", Class: jayjob.Urgent, Shape: mustShape(1, 1, jayjob.Anywhere), MeanRuntime: 120 * time.Millisecond, Deadline: 10 * time.Second, Idempotent: true, Weight: 0.5},
			{Name: "shelflife", Workspace: "warehouse", Class: jayjob.Deferrable, Shape: mustShape(1, 4, jayjob.SameWorker), MeanRuntime: 800 * time.Millisecond, Idempotent: true, Checkpointing: true, Weight: 0.12},
			{Name: "restock", Workspace: "purchasing", Class: jayjob.Standard, Shape: mustShape(4, 1, jayjob.SameDataCentre), MeanRuntime: 500 * time.Millisecond, Idempotent: true, Weight: 0.04},
			{Name: "order", Workspace: "order-desk", Class: jayjob.Urgent, Shape: mustShape(1, 0, jayjob.Anywhere), MeanRuntime: 20 * time.Millisecond, Deadline: 10 * time.Second, Weight: 0.3},
		},
	}
}

func salish() Deployment {
	return Deployment{
		name:        "salish",
		service:     "duesdesk",
		dataCentres: []string{"tacoma-hall", "everett-hall", "olympia-hall"},
		weights:     jaymanifest.NewWeights(0.3, 0.7),
		workspaces: []jaymanifest.DraftWorkspace{
			newWorkspace("billing", 64, 3, jaymanifest.NewGuarantee("billing", "end-of-day", mustShape(2, 8, jayjob.SameRack))),
			newWorkspace("harbour-desk", 64, 3, jaymanifest.NewGuarantee("harbour-desk", "slips", mustShape(8, 1, jayjob.SameDataCentre))),
			newWorkspace("ports", 64, 1, jaymanifest.NewGuarantee("ports", "close-of-day", mustShape(1, 8, jayjob.SameWorker))),
			newWorkspace("arrears", 40, 1, jaymanifest.NewGuarantee("arrears", "reminders", mustShape(4, 1, jayjob.Anywhere))),
		},
		kinds: []JobKind{
			{Name: "end-of-day", Workspace: "billing", Class: jayjob.Standard, Shape: mustShape(2, 8, jayjob.SameRack), MeanRuntime: 1500 * time.Millisecond, Idempotent: true, Checkpointing: true, Weight: 0.05},
			{Name: "clear-slip", Workspace: "harbour-desk", Class: jayjob.Urgent, Shape: mustShape(1, 1, jayjob.Anywhere), MeanRuntime: 120 * time.Millisecond, Deadline: 10 * time.Second, Idempotent: true, Weight: 0.45},
			{Name: "occupancy", Workspace: "ports", Class: jayjob.Deferrable, Shape: mustShape(1, 4, jayjob.SameWorker), MeanRuntime: 800 * time.Millisecond, Idempotent: true, Checkpointing: true, Weight: 0.12},
			{Name: "reminders", Workspace: "arrears", Class: jayjob.Standard, Shape: mustShape(4, 1, jayjob.SameDataCentre), MeanRuntime: 500 * time.Millisecond, Idempotent: true, Weight: 0.05},
			{Name: "charge", Workspace: "harbour-desk", Class: jayjob.Urgent, Shape: mustShape(1, 0, jayjob.Anywhere), MeanRuntime: 20 * time.Millisecond, Deadline: 10 * time.Second, Weight: 0.33},
		},
	}
}
