// Package jayjob defines a job that is one gang: its shape, class and limits. New
// validates a job's fields and returns its Spec. Jobs of several steps, for the users'
// platform, are in jaytask.
package jayjob

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"
)

// Limits of one job. MaxAccelerators bounds the accelerators of one member, MaxKeyBytes
// the idempotency key, MaxNameBytes the workspace and the kind, and MaxDuration the
// declared run time and the deadline.
const (
	MaxMembers      = 128
	MaxAccelerators = 64
	MaxPayloadBytes = 1 << 20
	MaxKeyBytes     = 128
	MaxNameBytes    = 64
	MaxDuration     = 30 * 24 * time.Hour
)

// Class is the urgency of a job.
type Class uint8

// The classes from the most to the least urgent.
const (
	Urgent Class = iota
	Standard
	Deferrable
)

// Classes lists every class in order of urgency.
var Classes = []Class{Urgent, Standard, Deferrable}

var classNames = []string{"urgent", "standard", "deferrable"}

// String returns the name used on the wire and in the manifest.
func (c Class) String() string { return nameOf(classNames, int(c)) }

// ParseClass returns the class of a name.
func ParseClass(s string) (Class, error) {
	i, err := indexOf("class", classNames, s)
	return Class(i), err
}

// Locality is how close together the members of a gang must be. Its name on the
// wire and in the manifest is near.
type Locality uint8

// The localities from the loosest to the tightest.
const (
	Anywhere Locality = iota
	SameDataCentre
	SameRack
	SameWorker
)

var localityNames = []string{"anywhere", "data_centre", "rack", "worker"}

// String returns the name used on the wire and in the manifest.
func (l Locality) String() string { return nameOf(localityNames, int(l)) }

// ParseLocality returns the locality of a name; an empty name means Anywhere.
func ParseLocality(s string) (Locality, error) {
	if s == "" {
		return Anywhere, nil
	}
	i, err := indexOf("near", localityNames, s)
	return Locality(i), err
}

// FieldError reports one field of a job that is outside its limits.
type FieldError struct {
	Field   string
	Given   string
	Allowed string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: given %q, allowed %s", e.Field, e.Given, e.Allowed)
}

func nameOf(names []string, i int) string {
	if i < len(names) {
		return names[i]
	}
	return fmt.Sprintf("invalid_%d", i)
}

func indexOf(field string, names []string, s string) (int, error) {
	for i, n := range names {
		if n == s {
			return i, nil
		}
	}
	return 0, &FieldError{Field: field, Given: s, Allowed: fmt.Sprintf("one of %v", names)}
}

// Shape is the resource request of a gang: the number of members, the accelerators
// that each member uses on one worker, and the locality. In a shape without
// accelerators, each member uses one slot of a runner.
type Shape struct {
	members      int
	accelerators int
	locality     Locality
}

// NewShape validates its arguments and returns the shape, or a FieldError.
func NewShape(members, accelerators int, locality Locality) (Shape, error) {
	if members < 1 || members > MaxMembers {
		return Shape{}, rangeError("members", members, 1, MaxMembers)
	}
	if accelerators < 0 || accelerators > MaxAccelerators {
		return Shape{}, rangeError("accelerators", accelerators, 0, MaxAccelerators)
	}
	if locality > SameWorker {
		return Shape{}, &FieldError{Field: "near", Given: locality.String(), Allowed: fmt.Sprintf("one of %v", localityNames)}
	}
	return Shape{members: members, accelerators: accelerators, locality: locality}, nil
}

func rangeError(field string, given, low, high int) error {
	return &FieldError{Field: field, Given: fmt.Sprint(given), Allowed: fmt.Sprintf("%d to %d", low, high)}
}

// Members returns the number of members of the gang.
func (s Shape) Members() int { return s.members }

// Accelerators returns the number of accelerators of each member.
func (s Shape) Accelerators() int { return s.accelerators }

// Locality returns how close together the members must be.
func (s Shape) Locality() Locality { return s.locality }

// TotalAccelerators returns the accelerators of all members.
func (s Shape) TotalAccelerators() int { return s.members * s.accelerators }

// String returns a readable form of the shape; Digest depends on it.
func (s Shape) String() string {
	return fmt.Sprintf("%dx%d near %s", s.members, s.accelerators, s.locality)
}

// Fields are the unvalidated values of a Spec, whose methods describe them.
type Fields struct {
	Workspace     string
	Kind          string
	Class         Class
	Shape         Shape
	Payload       []byte
	Runtime       time.Duration
	Deadline      time.Duration
	Key           string
	Idempotent    bool
	Checkpointing bool
}

// Spec is a validated job specification.
type Spec struct{ f Fields }

// New validates the fields and returns the specification, or a FieldError.
func New(f Fields) (Spec, error) {
	if err := checkName("workspace", f.Workspace); err != nil {
		return Spec{}, err
	}
	if err := checkName("kind", f.Kind); err != nil {
		return Spec{}, err
	}
	if f.Class > Deferrable {
		return Spec{}, &FieldError{Field: "class", Given: f.Class.String(), Allowed: fmt.Sprintf("one of %v", classNames)}
	}
	if f.Shape.members == 0 {
		return Spec{}, rangeError("members", 0, 1, MaxMembers)
	}
	if len(f.Payload) > MaxPayloadBytes {
		return Spec{}, rangeError("payload bytes", len(f.Payload), 0, MaxPayloadBytes)
	}
	if len(f.Key) > MaxKeyBytes {
		return Spec{}, rangeError("idempotency key bytes", len(f.Key), 0, MaxKeyBytes)
	}
	if f.Runtime < 0 || f.Runtime > MaxDuration {
		return Spec{}, &FieldError{Field: "runtime", Given: f.Runtime.String(), Allowed: "0s to " + MaxDuration.String()}
	}
	if f.Deadline < 0 || f.Deadline > MaxDuration {
		return Spec{}, &FieldError{Field: "deadline", Given: f.Deadline.String(), Allowed: "0s to " + MaxDuration.String()}
	}
	if !f.Idempotent && f.Key == "" {
		return Spec{}, &FieldError{Field: "idempotency key", Given: "", Allowed: "a key with each non-idempotent job"}
	}
	return Spec{f: f}, nil
}

func checkName(field, s string) error {
	if s == "" || len(s) > MaxNameBytes {
		return rangeError(field+" bytes", len(s), 1, MaxNameBytes)
	}
	for _, c := range s {
		if c != '-' && c != '_' && c != '.' && (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') {
			return &FieldError{Field: field, Given: s, Allowed: "letters, digits, '-', '_' and '.'"}
		}
	}
	return nil
}

// Workspace returns the workspace that submitted the job.
func (s Spec) Workspace() string { return s.f.Workspace }

// Kind returns the kind of job, by which run times are estimated.
func (s Spec) Kind() string { return s.f.Kind }

// Class returns how urgent the job is.
func (s Spec) Class() Class { return s.f.Class }

// Shape returns the resource request of the gang.
func (s Spec) Shape() Shape { return s.f.Shape }

// Payload returns the input that each member receives.
func (s Spec) Payload() []byte { return s.f.Payload }

// Runtime returns the declared run time, or zero.
func (s Spec) Runtime() time.Duration { return s.f.Runtime }

// Deadline returns the time after submission by which the caller needs the answer,
// or zero for no deadline.
func (s Spec) Deadline() time.Duration { return s.f.Deadline }

// Key returns the idempotency key, or an empty string.
func (s Spec) Key() string { return s.f.Key }

// Idempotent reports whether the job may run more than once.
func (s Spec) Idempotent() bool { return s.f.Idempotent }

// Checkpointing reports whether the job resumes from a checkpoint.
func (s Spec) Checkpointing() bool { return s.f.Checkpointing }

// Preemptible reports whether the job may be stopped for another workspace's
// guarantee: an idempotent job restarts, a checkpointing job resumes.
func (s Spec) Preemptible() bool { return s.f.Idempotent || s.f.Checkpointing }

// Digest identifies the body of the job: two submissions with the same idempotency
// key must have the same digest.
func (s Spec) Digest() [sha256.Size]byte {
	h := sha256.New()
	for _, p := range [][]byte{[]byte(s.f.Workspace), []byte(s.f.Kind), []byte(s.f.Shape.String()), s.f.Payload} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(p)))
		h.Write(n[:])
		h.Write(p)
	}
	var d [sha256.Size]byte
	h.Sum(d[:0])
	return d
}
