// Package jayframe defines the messages between jaystile's processes and their CBOR
// codec. The message types are wire types: arrays, whose elements must keep their
// order and types. Domain types are converted by hand.
//
// An entry sends Reserve to the agent of each member of a gang and then Commit to the
// gang's coordinator, the agent of the first member. The coordinator orders the members
// with Prepare, Start and Stop and sends the Outcome to the entry. The messages of the
// roles cell-entry and cell-side are in cell.go.
package jayframe

import (
	"time"

	"github.com/jaystile/jaystile/internal/request/jayattempt"
	"github.com/jaystile/jaystile/internal/request/jayjob"
)

// Kind identifies the type of a message.
type Kind uint8

// The kinds of messages. Numbers are never reused for another kind.
const (
	KindHello          Kind = 1
	KindHelloReply     Kind = 2
	KindHeartbeat      Kind = 3
	KindReport         Kind = 4
	KindManifest       Kind = 5
	KindWorkerHomes    Kind = 6
	KindReserve        Kind = 7
	KindReserveReply   Kind = 8
	KindCommit         Kind = 9
	KindOutcome        Kind = 10
	KindRelease        Kind = 11
	KindResolve        Kind = 12
	KindCancel         Kind = 13
	KindJoin           Kind = 14
	KindPrepare        Kind = 15
	KindPrepared       Kind = 16
	KindStart          Kind = 17
	KindMemberDone     Kind = 18
	KindStop           Kind = 19
	KindAck            Kind = 20
	KindJobQuery       Kind = 21
	KindJobReply       Kind = 22
	KindDrain          Kind = 23
	KindTimelineQuery  Kind = 24
	KindTimelineReply  Kind = 25
	KindVersionQuery   Kind = 26
	KindVersionReply   Kind = 27
	KindCellReport     Kind = 28
	KindCellLeaseGrant Kind = 29
	KindCellOrders     Kind = 30
	KindCellView       Kind = 31
	KindCellResign     Kind = 32
	KindStoredRecords  Kind = 33
	KindStoreRelay     Kind = 34
	KindStoreReply     Kind = 35
	KindPutRecords     Kind = 36
	KindPutReply       Kind = 37
	KindCellAccount    Kind = 38
	KindCellAsk        Kind = 39
	KindCellFollow     Kind = 40
)

// Message is one message between two processes.
type Message interface{ Kind() Kind }

// Attempt is the wire form of an attempt's ID.
type Attempt struct {
	_       struct{} `cbor:",toarray"`
	Origin  uint64
	Counter uint64
}

// FromID converts an attempt's ID to its wire form.
func FromID(i jayattempt.ID) Attempt {
	return Attempt{Origin: uint64(i.Origin()), Counter: i.Counter()}
}

// ID converts the wire form to an attempt's ID.
func (a Attempt) ID() jayattempt.ID {
	return jayattempt.NewID(jayattempt.Incarnation(a.Origin), a.Counter)
}

// Role is the role of a process.
type Role uint8

// The roles of processes that open links.
const (
	RoleEntry Role = iota + 1
	RoleAgent
	// RoleObserver is that of an entry that only exchanges views of the newest term.
	RoleObserver
)

// Hello is the first message on a link, sent by the process that dialed. Proof is an
// HMAC over the nonce from the listener's handshake response; the proof in the
// HelloReply covers Nonce.
type Hello struct {
	_            struct{} `cbor:",toarray"`
	Role         Role
	Name         string
	Incarnation  uint64
	Address      string
	HTTPAddress  string
	DataCentre   string
	Rack         string
	Cell         string
	Service      string
	Accelerators int
	Slots        int
	Connections  int
	Proof        []byte
	Nonce        []byte
}

// Kind implements Message.
func (*Hello) Kind() Kind { return KindHello }

// HelloReply answers a Hello.
type HelloReply struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
	Entries     []string
	Proof       []byte
}

// Kind implements Message.
func (*HelloReply) Kind() Kind { return KindHelloReply }

// Heartbeat is sent in both directions. Ack is the highest sequence number that the
// sender has received, so that each end notices when its own messages no longer
// arrive.
type Heartbeat struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint64
	Ack      uint64
	Time     uint64
	Manifest uint64
	Entries  []string
}

// Kind implements Message.
func (*Heartbeat) Kind() Kind { return KindHeartbeat }

// Reservation is one reservation in a Report. Ages are in milliseconds at the time of
// the report, so that clocks need not be synchronized.
type Reservation struct {
	_                   struct{} `cbor:",toarray"`
	Attempt             Attempt
	Member              int
	Job                 string
	Workspace           string
	JobKind             string
	Class               uint8
	Accelerators        int
	Preemptible         bool
	Checkpointing       bool
	Stopping            bool
	AgeMillis           int64
	CheckpointAgeMillis int64
}

// Report is an agent's authoritative state: its reservations, free slots and health.
// InFlight is the number of requests with a slot of its runner.
type Report struct {
	_             struct{} `cbor:",toarray"`
	Sequence      uint64
	Draining      bool
	Manifest      uint64
	FreeSlots     int
	InFlight      int
	LatencyMicros int64
	Unhealthy     bool
	Reservations  []Reservation
}

// Kind implements Message.
func (*Report) Kind() Kind { return KindReport }

// Manifest distributes a version of the manifest.
type Manifest struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Source  []byte
}

// Kind implements Message.
func (*Manifest) Kind() Kind { return KindManifest }

// Home is the number of a worker's accelerators that are home to a workspace.
type Home struct {
	_            struct{} `cbor:",toarray"`
	Workspace    string
	Accelerators int
}

// WorkerHomes tells an agent which workspaces have homes on its worker.
type WorkerHomes struct {
	_        struct{} `cbor:",toarray"`
	Manifest uint64
	Homes    []Home
}

// Kind implements Message.
func (*WorkerHomes) Kind() Kind { return KindWorkerHomes }

// Spec is the wire form of a job's specification.
type Spec struct {
	_              struct{} `cbor:",toarray"`
	Workspace      string
	JobKind        string
	Class          uint8
	Members        int
	Accelerators   int
	Locality       uint8
	Payload        []byte
	RuntimeMillis  int64
	DeadlineMillis int64
	Key            string
	Idempotent     bool
	Checkpointing  bool
}

// FromSpec converts a specification to its wire form.
func FromSpec(s jayjob.Spec) Spec {
	return Spec{
		Workspace:      s.Workspace(),
		JobKind:        s.Kind(),
		Class:          uint8(s.Class()),
		Members:        s.Shape().Members(),
		Accelerators:   s.Shape().Accelerators(),
		Locality:       uint8(s.Shape().Locality()),
		Payload:        s.Payload(),
		RuntimeMillis:  s.Runtime().Milliseconds(),
		DeadlineMillis: s.Deadline().Milliseconds(),
		Key:            s.Key(),
		Idempotent:     s.Idempotent(),
		Checkpointing:  s.Checkpointing(),
	}
}

// Spec validates the wire form and converts it to a specification.
func (s Spec) Spec() (jayjob.Spec, error) {
	shape, err := jayjob.NewShape(s.Members, s.Accelerators, jayjob.Locality(s.Locality))
	if err != nil {
		return jayjob.Spec{}, err
	}
	return jayjob.New(jayjob.Fields{
		Workspace:     s.Workspace,
		Kind:          s.JobKind,
		Class:         jayjob.Class(s.Class),
		Shape:         shape,
		Payload:       s.Payload,
		Runtime:       time.Duration(s.RuntimeMillis) * time.Millisecond,
		Deadline:      time.Duration(s.DeadlineMillis) * time.Millisecond,
		Key:           s.Key,
		Idempotent:    s.Idempotent,
		Checkpointing: s.Checkpointing,
	})
}

// PreemptionMode says which other work a reservation may preempt.
type PreemptionMode uint8

// The preemption modes, as in jayreservation.
const (
	NoPreemption PreemptionMode = iota
	ReclaimHome
	UrgentPreemption
	ShorterPreemption
)

// Reserve asks an agent to reserve accelerators or a slot for one member. Victims are
// the jobs that the sender proposes to preempt.
type Reserve struct {
	_           struct{} `cbor:",toarray"`
	Attempt     Attempt
	Member      int
	Members     int
	Job         string
	Spec        Spec
	Digest      []byte
	TTLMillis   int64
	Preemption  PreemptionMode
	Victims     []string
	Coordinator string
	Checkpoint  []byte
	// Run starts a gang of one member immediately, without a Commit.
	Run bool
	// RemainingMillis is the time left until the caller's deadline, or zero for none.
	RemainingMillis int64
}

// Kind implements Message.
func (*Reserve) Kind() Kind { return KindReserve }

// ReserveReply answers a Reserve. When victims are preempted, it is sent after they
// have stopped.
type ReserveReply struct {
	_       struct{} `cbor:",toarray"`
	Granted bool
	Token   uint64
	Code    string
	Message string
}

// Kind implements Message.
func (*ReserveReply) Kind() Kind { return KindReserveReply }

// MemberToken identifies the granted reservation of one member of a gang.
type MemberToken struct {
	_     struct{} `cbor:",toarray"`
	Agent string
	Token uint64
}

// Commit asks a gang's coordinator to start the gang.
type Commit struct {
	_       struct{} `cbor:",toarray"`
	Attempt Attempt
	Members []MemberToken
}

// Kind implements Message.
func (*Commit) Kind() Kind { return KindCommit }

// Status is the status of an attempt at its coordinator.
type Status uint8

// The statuses of an attempt.
const (
	// StatusNeverStarted means that no member has started and none ever will.
	StatusNeverStarted Status = iota + 1
	// StatusReserved means that the attempt has its reservations and may still start.
	StatusReserved
	// StatusRunning means that members may have started.
	StatusRunning
	// StatusAnswered means that every member returned a result.
	StatusAnswered
	// StatusFailed means that members started and the gang was stopped.
	StatusFailed
	// StatusStopped means that the gang was preempted or moved and may resume.
	StatusStopped
	// StatusCanceled means that the gang was stopped at its caller's request.
	StatusCanceled
	// StatusUnknown means that the asked process does not know the status.
	StatusUnknown
)

// Outcome reports an attempt's status at its coordinator. It answers Commit, Resolve and
// a Reserve with Run set, and is also sent without a request when the attempt ends.
type Outcome struct {
	_              struct{} `cbor:",toarray"`
	Attempt        Attempt
	Digest         []byte
	Status         Status
	Code           string
	Message        string
	Results        [][]byte
	Checkpoint     []byte
	ProgressMillis int64
	ElapsedMillis  int64
	Worker         string
}

// Kind implements Message.
func (*Outcome) Kind() Kind { return KindOutcome }

// Release frees a reservation that has not started and leaves a tombstone.
type Release struct {
	_       struct{} `cbor:",toarray"`
	Attempt Attempt
}

// Kind implements Message.
func (*Release) Kind() Kind { return KindRelease }

// Resolve asks a coordinator for the outcome of an attempt. An attempt that is unknown
// to the coordinator gets a tombstone, so that it never starts afterwards.
type Resolve struct {
	_       struct{} `cbor:",toarray"`
	Attempt Attempt
	// Incarnation is that of the agent to which the attempt was sent.
	Incarnation uint64
	// Tombstone makes the coordinator give up an attempt that has not started.
	Tombstone bool
}

// Kind implements Message.
func (*Resolve) Kind() Kind { return KindResolve }

// Cancel asks a coordinator to stop an attempt.
type Cancel struct {
	_       struct{} `cbor:",toarray"`
	Attempt Attempt
	// Resume stops the attempt with a checkpoint, so that it can be placed again.
	Resume bool
	// Incarnation is that of the agent to which the attempt was sent.
	Incarnation uint64
}

// Kind implements Message.
func (*Cancel) Kind() Kind { return KindCancel }

// Join tells a gang's coordinator that a member has its reservation.
type Join struct {
	_       struct{} `cbor:",toarray"`
	Attempt Attempt
	Member  int
	Agent   string
	Token   uint64
}

// Kind implements Message.
func (*Join) Kind() Kind { return KindJoin }

// Prepare tells a member to load its task and wait for Start.
type Prepare struct {
	_       struct{} `cbor:",toarray"`
	Attempt Attempt
	Member  int
	Token   uint64
}

// Kind implements Message.
func (*Prepare) Kind() Kind { return KindPrepare }

// Prepared tells the coordinator whether the member's task is loaded.
type Prepared struct {
	_       struct{} `cbor:",toarray"`
	Attempt Attempt
	Member  int
	OK      bool
	Message string
}

// Kind implements Message.
func (*Prepared) Kind() Kind { return KindPrepared }

// Start tells a member to start its prepared task.
type Start struct {
	_       struct{} `cbor:",toarray"`
	Attempt Attempt
	Member  int
}

// Kind implements Message.
func (*Start) Kind() Kind { return KindStart }

// MemberDone tells the coordinator how a member ended.
type MemberDone struct {
	_              struct{} `cbor:",toarray"`
	Attempt        Attempt
	Member         int
	Status         Status
	Result         []byte
	Message        string
	Checkpoint     []byte
	ProgressMillis int64
}

// Kind implements Message.
func (*MemberDone) Kind() Kind { return KindMemberDone }

// Stop tells a member to stop its task and free its reservation.
type Stop struct {
	_          struct{} `cbor:",toarray"`
	Attempt    Attempt
	Member     int
	Checkpoint bool
}

// Kind implements Message.
func (*Stop) Kind() Kind { return KindStop }

// Ack answers a message that has no reply of its own.
type Ack struct {
	_  struct{} `cbor:",toarray"`
	OK bool
}

// Kind implements Message.
func (*Ack) Kind() Kind { return KindAck }

// JobQuery asks another entry for a job's status, or to cancel the job.
type JobQuery struct {
	_          struct{} `cbor:",toarray"`
	Workspace  string
	Job        string
	Cancel     bool
	WaitMillis int64
}

// Kind implements Message.
func (*JobQuery) Kind() Kind { return KindJobQuery }

// JobReply answers a JobQuery with the job's public status as JSON.
type JobReply struct {
	_      struct{} `cbor:",toarray"`
	Found  bool
	Status []byte
}

// Kind implements Message.
func (*JobReply) Kind() Kind { return KindJobReply }

// Drain tells an agent to accept no new work, or to accept it again.
type Drain struct {
	_  struct{} `cbor:",toarray"`
	On bool
}

// Kind implements Message.
func (*Drain) Kind() Kind { return KindDrain }

// TimelineQuery asks a process for its events.
type TimelineQuery struct {
	_     struct{} `cbor:",toarray"`
	Since uint64
	Limit int
}

// Kind implements Message.
func (*TimelineQuery) Kind() Kind { return KindTimelineQuery }

// Event is one event of a process's timeline.
type Event struct {
	_         struct{} `cbor:",toarray"`
	Time      uint64
	Process   string
	Name      string
	Job       string
	Attempt   string
	Workspace string
	Worker    string
	Detail    string
}

// TimelineReply answers a TimelineQuery.
type TimelineReply struct {
	_      struct{} `cbor:",toarray"`
	Events []Event
}

// Kind implements Message.
func (*TimelineReply) Kind() Kind { return KindTimelineReply }

// VersionQuery asks an entry for the manifest version of each process it knows.
type VersionQuery struct {
	_ struct{} `cbor:",toarray"`
}

// Kind implements Message.
func (*VersionQuery) Kind() Kind { return KindVersionQuery }

// ProcessVersion is a process and the version of the manifest it has in force.
type ProcessVersion struct {
	_        struct{} `cbor:",toarray"`
	Process  string
	Manifest uint64
}

// VersionReply answers a VersionQuery.
type VersionReply struct {
	_         struct{} `cbor:",toarray"`
	Processes []ProcessVersion
}

// Kind implements Message.
func (*VersionReply) Kind() Kind { return KindVersionReply }
