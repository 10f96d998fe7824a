// Package jaydemo runs a whole deployment in one process over loopback: the
// platform's stand-ins, real entries and real sides, with jobs that arrive from
// a seed, and judges what came of every job.
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

// Kind is one kind of job of a deployment.
type JobKind struct {
	Name          string
	Workspace     string
	Class         jayjob.Class
	Shape         jayjob.Shape
	MeanRuntime   time.Duration
	Deadline      time.Duration
	Idempotent    bool
	Checkpointing bool
	// Weight is the kind's share of all arrivals.
	Weight float64
}

// Deployment is one of the two deployments that jaystile is first used in.
type Deployment struct {
	name        string
	service     string
	dataCentres []string
	weights     jaymanifest.Weights
	spaces      []jaymanifest.DraftWorkspace
	kinds       []JobKind
}

// Name returns the deployment's name.
func (d Deployment) Name() string { return d.name }

// Kinds returns the kinds of job that arrive.
func (d Deployment) JobKinds() []JobKind { return d.kinds }

// Service returns the name of the runners' service.
func (d Deployment) Service() string { return d.service }

// Site says where a worker stands.
type Location struct{ DataCentre, Rack, Cell string }

// Site returns where the worker of the index stands: three to a rack, two racks
// in the first data centre.
func (d Deployment) WorkerLocation(worker int) Location {
	rack := worker / workersPerRack
	centre := d.dataCentres[max(rack-1, 0)]
	return Location{DataCentre: centre, Rack: fmt.Sprintf("rack-%d", rack+1), Cell: "cell-1"}
}

// DataCentre returns the data centre of the entry of the index.
func (d Deployment) EntryDataCentre(entry int) string { return d.dataCentres[entry%len(d.dataCentres)] }

// WorkspaceKey returns the demonstration's key of a workspace.
func WorkspaceKey(workspace string) string { return "demo-key-" + workspace }

// OperatorKey is the demonstration's key of operators.
const OperatorKey = "demo-operator-key"

// Manifest returns the deployment's manifest on top of a base version.
func (d Deployment) Manifest(base uint64) ([]byte, error) {
	return jaymanifest.Draft{Base: base, Deployment: d.name, Weights: d.weights, Workspaces: d.spaces}.Encode()
}

// UnknownDeploymentError reports a name that is no deployment.
type UnknownDeploymentError struct{ Name string }

// Error implements error.
func (e *UnknownDeploymentError) Error() string {
	return fmt.Sprintf("deployment: given %q, allowed: kjaergaard or salish", e.Name)
}

// Find returns the deployment of a name.
func FindDeployment(name string) (Deployment, error) {
	switch name {
	case "kjaergaard":
		return kjaergaard(), nil
	case "salish":
		return salish(), nil
	}
	return Deployment{}, &UnknownDeploymentError{Name: name}
}

func shape(members, accelerators int, near jayjob.Locality) jayjob.Shape {
	s, err := jayjob.NewShape(members, accelerators, near)
	if err != nil {
		panic(fmt.Errorf("demo shape: %w", err))
	}
	return s
}

func space(name string, quota, share int, guarantees ...jaymanifest.Guarantee) jaymanifest.DraftWorkspace {
	return jaymanifest.DraftWorkspace{Name: name, Key: jaymanifest.DeterministicCredential(WorkspaceKey(name)), Quota: quota, Share: share, Guarantees: guarantees}
}

func kjaergaard() Deployment {
	return Deployment{
		name:        "kjaergaard",
		service:     "ordrevagt",
		dataCentres: []string{"fryserum-a", "fryserum-b", "kontorhal"},
		weights:     jaymanifest.NewWeights(0.7, 0.3),
		spaces: []jaymanifest.DraftWorkspace{
			space("dispatch", 64, 3, jaymanifest.NewGuarantee("dispatch", "night-plan", shape(2, 8, jayjob.SameRack))),
			space("order-desk", 64, 3, jaymanifest.NewGuarantee("order-desk", "quotes", shape(8, 1, jayjob.SameDataCentre))),
			space("warehouse", 64, 1, jaymanifest.NewGuarantee("warehouse", "forecast", shape(1, 8, jayjob.SameWorker))),
			space("purchasing", 40, 1, jaymanifest.NewGuarantee("purchasing", "batch", shape(4, 1, jayjob.Anywhere))),
		},
		kinds: []JobKind{
			{Name: "replan", Workspace: "dispatch", Class: jayjob.Standard, Shape: shape(2, 8, jayjob.SameRack), MeanRuntime: 1500 * time.Millisecond, Idempotent: true, Checkpointing: true, Weight: 0.04},
			{Name: "pricecheck", Workspace: "order-desk", Class: jayjob.Urgent, Shape: shape(1, 1, jayjob.Anywhere), MeanRuntime: 120 * time.Millisecond, Deadline: 10 * time.Second, Idempotent: true, Weight: 0.5},
			{Name: "shelflife", Workspace: "warehouse", Class: jayjob.Deferrable, Shape: shape(1, 4, jayjob.SameWorker), MeanRuntime: 800 * time.Millisecond, Idempotent: true, Checkpointing: true, Weight: 0.12},
			{Name: "restock", Workspace: "purchasing", Class: jayjob.Standard, Shape: shape(4, 1, jayjob.SameDataCentre), MeanRuntime: 500 * time.Millisecond, Idempotent: true, Weight: 0.04},
			{Name: "order", Workspace: "order-desk", Class: jayjob.Urgent, Shape: shape(1, 0, jayjob.Anywhere), MeanRuntime: 20 * time.Millisecond, Deadline: 10 * time.Second, Weight: 0.3},
		},
	}
}

func salish() Deployment {
	return Deployment{
		name:        "salish",
		service:     "duesdesk",
		dataCentres: []string{"tacoma-hall", "everett-hall", "olympia-hall"},
		weights:     jaymanifest.NewWeights(0.3, 0.7),
		spaces: []jaymanifest.DraftWorkspace{
			space("billing", 64, 3, jaymanifest.NewGuarantee("billing", "end-of-day", shape(2, 8, jayjob.SameRack))),
			space("harbour-desk", 64, 3, jaymanifest.NewGuarantee("harbour-desk", "slips", shape(8, 1, jayjob.SameDataCentre))),
			space("ports", 64, 1, jaymanifest.NewGuarantee("ports", "close-of-day", shape(1, 8, jayjob.SameWorker))),
			space("arrears", 40, 1, jaymanifest.NewGuarantee("arrears", "reminders", shape(4, 1, jayjob.Anywhere))),
		},
		kinds: []JobKind{
			{Name: "end-of-day", Workspace: "billing", Class: jayjob.Standard, Shape: shape(2, 8, jayjob.SameRack), MeanRuntime: 1500 * time.Millisecond, Idempotent: true, Checkpointing: true, Weight: 0.05},
			{Name: "clear-slip", Workspace: "harbour-desk", Class: jayjob.Urgent, Shape: shape(1, 1, jayjob.Anywhere), MeanRuntime: 120 * time.Millisecond, Deadline: 10 * time.Second, Idempotent: true, Weight: 0.45},
			{Name: "occupancy", Workspace: "ports", Class: jayjob.Deferrable, Shape: shape(1, 4, jayjob.SameWorker), MeanRuntime: 800 * time.Millisecond, Idempotent: true, Checkpointing: true, Weight: 0.12},
			{Name: "reminders", Workspace: "arrears", Class: jayjob.Standard, Shape: shape(4, 1, jayjob.SameDataCentre), MeanRuntime: 500 * time.Millisecond, Idempotent: true, Weight: 0.05},
			{Name: "charge", Workspace: "harbour-desk", Class: jayjob.Urgent, Shape: shape(1, 0, jayjob.Anywhere), MeanRuntime: 20 * time.Millisecond, Deadline: 10 * time.Second, Weight: 0.33},
		},
	}
}
