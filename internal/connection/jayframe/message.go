// Package jayframe holds the messages between jaystile's own processes and
// their CBOR codec. The message types are wire types; domain types are mapped
// to and from them by hand.
package jayframe

import (
	"time"

	"github.com/jaystile/jaystile/internal/request/jayattempt"
	"github.com/jaystile/jaystile/internal/request/jayjob"
)

// Kind tells the type of a message.
type Kind uint8

// The kinds of messages. A number is never used again for another kind.
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
)

// Message is one message between two processes.
type Message interface{ Kind() Kind }

// Attempt is an attempt's identity on the wire.
type Attempt struct {
	_       struct{} `cbor:",toarray"`
	Origin  uint64
	Counter uint64
}

// FromID maps an attempt's identity to the wire.
func FromID(i jayattempt.ID) Attempt {
	return Attempt{Origin: uint64(i.Origin()), Counter: i.Counter()}
}

// ID maps the wire form to an attempt's identity.
func (a Attempt) ID() jayattempt.ID {
	return jayattempt.NewID(jayattempt.Incarnation(a.Origin), a.Counter)
}

// Role says what a process is.
type Role uint8

// The roles of processes that open links.
const (
	RoleEntry Role = iota + 1
	RoleAgent
)

// Hello is the first message on a link, sent by the process that dialed.
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

// Welcome answers a Hello.
type HelloReply struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
	Entries     []string
	Proof       []byte
}

// Kind implements Message.
func (*HelloReply) Kind() Kind { return KindHelloReply }

// Beat is the heartbeat of both directions. Ack echoes the highest sequence
// that the sender has received, so that each end notices when its own messages
// no longer arrive.
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

// Held is one hold in a Report. Ages are in milliseconds at the time of the
// report, so that no clocks need agree.
type Reservation struct {
	_                   struct{} `cbor:",toarray"`
	Attempt             Attempt
	Member              int
	Job                 string
	Workspace           string
	JobKind             string
	Class               uint8
	Accelerators        int
	Stoppable           bool
	Checkpointing       bool
	Stopping            bool
	AgeMillis           int64
	CheckpointAgeMillis int64
}

// Report is the owner's own word on what it holds.
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

// Manifest spreads a version of the configuration.
type Manifest struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Source  []byte
}

// Kind implements Message.
func (*Manifest) Kind() Kind { return KindManifest }

// Home is one workspace's part of a worker.
type Home struct {
	_            struct{} `cbor:",toarray"`
	Workspace    string
	Accelerators int
}

// Homes tells an owner whose homes lie on its worker.
type WorkerHomes struct {
	_        struct{} `cbor:",toarray"`
	Manifest uint64
	Homes    []Home
}

// Kind implements Message.
func (*WorkerHomes) Kind() Kind { return KindWorkerHomes }

// Spec is a job's specification on the wire.
type Spec struct {
	_              struct{} `cbor:",toarray"`
	Workspace      string
	JobKind        string
	Class          uint8
	Members        int
	Accelerators   int
	Near           uint8
	Payload        []byte
	RuntimeMillis  int64
	DeadlineMillis int64
	Key            string
	Idempotent     bool
	Checkpointing  bool
}

// FromSpec maps a specification to the wire.
func FromSpec(s jayjob.Spec) Spec {
	return Spec{
		Workspace:      s.Workspace(),
		JobKind:        s.Kind(),
		Class:          uint8(s.Class()),
		Members:        s.Shape().Members(),
		Accelerators:   s.Shape().Accelerators(),
		Near:           uint8(s.Shape().Locality()),
		Payload:        s.Payload(),
		RuntimeMillis:  s.Runtime().Milliseconds(),
		DeadlineMillis: s.Deadline().Milliseconds(),
		Key:            s.Key(),
		Idempotent:     s.Idempotent(),
		Checkpointing:  s.Checkpointing(),
	}
}

// Spec checks the wire form and maps it to a specification.
func (s Spec) Spec() (jayjob.Spec, error) {
	shape, err := jayjob.NewShape(s.Members, s.Accelerators, jayjob.Locality(s.Near))
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

// Way says by what right a hold may displace other work.
type PreemptionMode uint8

// The ways to get accelerators.
const (
	PreemptionNone PreemptionMode = iota
	PreemptionReclaimHome
	PreemptionUrgent
	PreemptionShorter
)

// Hold asks an owner to hold accelerators or a slot for one member.
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
	// Run starts a gang of one member at once, without a Commit.
	Run bool
	// LeftMillis is the time left until the caller's deadline, or zero.
	RemainingMillis int64
}

// Kind implements Message.
func (*Reserve) Kind() Kind { return KindReserve }

// HoldReply answers a Hold. A hold that waits for victims is answered when they
// have left.
type ReserveReply struct {
	_       struct{} `cbor:",toarray"`
	Granted bool
	Token   uint64
	Code    string
	Message string
}

// Kind implements Message.
func (*ReserveReply) Kind() Kind { return KindReserveReply }

// MemberToken names one granted hold of a gang.
type MemberToken struct {
	_     struct{} `cbor:",toarray"`
	Agent string
	Token uint64
}

// Commit asks a gang's anchor to decide that the gang runs.
type Commit struct {
	_       struct{} `cbor:",toarray"`
	Attempt Attempt
	Members []MemberToken
}

// Kind implements Message.
func (*Commit) Kind() Kind { return KindCommit }

// Status is what an anchor knows of an attempt.
type Status uint8

// The statuses of an attempt at its anchor.
const (
	// StatusNever means that no member started and none ever will.
	StatusNeverStarted Status = iota + 1
	// StatusHeld means that the attempt is held and may still start.
	StatusReserved
	// StatusRunning means that members may have started.
	StatusRunning
	// StatusAnswered means that every member ended with a result.
	StatusAnswered
	// StatusFailed means that members started and the gang was stopped.
	StatusFailed
	// StatusStopped means that the gang was stopped for another and may resume.
	StatusStopped
	// StatusCanceled means that the gang was stopped because its caller asked.
	StatusCanceled
	// StatusLost means that the asked process does not know.
	StatusUnknown
)

// Outcome is the anchor's word on an attempt. It answers Commit, Settle and a
// Hold with Run set, and is sent unasked when the attempt ends.
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

// Release frees a hold that has not started and leaves a tombstone.
type Release struct {
	_       struct{} `cbor:",toarray"`
	Attempt Attempt
}

// Kind implements Message.
func (*Release) Kind() Kind { return KindRelease }

// Settle asks an anchor what became of an attempt. An attempt that the anchor
// has never heard of gets a tombstone, so that it never starts afterwards.
type Resolve struct {
	_       struct{} `cbor:",toarray"`
	Attempt Attempt
	// Owner is the incarnation of the side that the attempt was sent to.
	Incarnation uint64
	// Bury makes the anchor give up an attempt that has not started.
	Tombstone bool
}

// Kind implements Message.
func (*Resolve) Kind() Kind { return KindResolve }

// Cancel asks an anchor to stop an attempt.
type Cancel struct {
	_       struct{} `cbor:",toarray"`
	Attempt Attempt
	// Resume stops the attempt with a checkpoint, so that it is placed anew.
	Resume bool
	// Owner is the incarnation of the side that the attempt was sent to.
	Incarnation uint64
}

// Kind implements Message.
func (*Cancel) Kind() Kind { return KindCancel }

// Join tells a gang's anchor that a member holds its accelerators.
type Join struct {
	_       struct{} `cbor:",toarray"`
	Attempt Attempt
	Member  int
	Agent   string
	Token   uint64
}

// Kind implements Message.
func (*Join) Kind() Kind { return KindJoin }

// Prepare tells a member to load its task without starting it.
type Prepare struct {
	_       struct{} `cbor:",toarray"`
	Attempt Attempt
	Member  int
	Token   uint64
}

// Kind implements Message.
func (*Prepare) Kind() Kind { return KindPrepare }

// Prepared tells the anchor whether the member's task is loaded.
type Prepared struct {
	_       struct{} `cbor:",toarray"`
	Attempt Attempt
	Member  int
	OK      bool
	Message string
}

// Kind implements Message.
func (*Prepared) Kind() Kind { return KindPrepared }

// Go releases the start barrier.
type Start struct {
	_       struct{} `cbor:",toarray"`
	Attempt Attempt
	Member  int
}

// Kind implements Message.
func (*Start) Kind() Kind { return KindStart }

// MemberDone tells the anchor how a member ended.
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

// Stop tells a member to stop its task and free what it holds.
type Stop struct {
	_          struct{} `cbor:",toarray"`
	Attempt    Attempt
	Member     int
	Checkpoint bool
}

// Kind implements Message.
func (*Stop) Kind() Kind { return KindStop }

// Ack answers a message that needs no other answer.
type Ack struct {
	_  struct{} `cbor:",toarray"`
	OK bool
}

// Kind implements Message.
func (*Ack) Kind() Kind { return KindAck }

// JobQuery asks another entry about a job, or to cancel it.
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

// Drain tells a side to take no new work, or to take it again.
type Drain struct {
	_  struct{} `cbor:",toarray"`
	On bool
}

// Kind implements Message.
func (*Drain) Kind() Kind { return KindDrain }

// Timeline asks a process for its events.
type TimelineQuery struct {
	_     struct{} `cbor:",toarray"`
	Since uint64
	Limit int
}

// Kind implements Message.
func (*TimelineQuery) Kind() Kind { return KindTimelineQuery }

// Event is one event of a process's time line.
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

// Events answers Timeline.
type TimelineReply struct {
	_      struct{} `cbor:",toarray"`
	Events []Event
}

// Kind implements Message.
func (*TimelineReply) Kind() Kind { return KindTimelineReply }

// Versions asks an entry which manifest each process it knows has in force.
type VersionQuery struct {
	_ struct{} `cbor:",toarray"`
}

// Kind implements Message.
func (*VersionQuery) Kind() Kind { return KindVersionQuery }

// ProcessVersion is one process and the manifest that it has in force.
type ProcessVersion struct {
	_        struct{} `cbor:",toarray"`
	Process  string
	Manifest uint64
}

// VersionMap answers Versions.
type VersionReply struct {
	_         struct{} `cbor:",toarray"`
	Processes []ProcessVersion
}

// Kind implements Message.
func (*VersionReply) Kind() Kind { return KindVersionReply }
