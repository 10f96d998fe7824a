package jaystate

import (
	"sort"

	"github.com/jaystile/jaystile/internal/process/jaylog"
	"github.com/jaystile/jaystile/internal/request/jayattempt"
)

type wireMember struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
	Link        string
}

// Member is an entry as announced in the log.
type Member struct {
	name        string
	incarnation jayattempt.Incarnation
	link        string
}

// Name returns the entry's name.
func (m Member) Name() string { return m.name }

// Incarnation returns the entry's incarnation.
func (m Member) Incarnation() jayattempt.Incarnation { return m.incarnation }

// Link returns the entry's link address.
func (m Member) Link() string { return m.link }

// Members is the table of the members stream: the latest incarnation of each
// entry. It is not safe for concurrent use.
type Members struct{ byName map[string]Member }

// NewMembers returns an empty table.
func NewMembers() *Members { return &Members{byName: map[string]Member{}} }

// Apply applies one record and returns the member that it changed, if any.
func (ms *Members) Apply(r jaylog.Record) (Member, bool) {
	e, err := decode(MembersStream, r.Data())
	if err != nil || e.Kind != kindMember {
		return Member{}, false
	}
	var w wireMember
	if decodeBody(MembersStream, e, &w) != nil {
		return Member{}, false
	}
	m := Member{name: w.Name, incarnation: jayattempt.Incarnation(w.Incarnation), link: w.Link}
	if ms.byName[m.name].incarnation >= m.incarnation {
		return Member{}, false
	}
	ms.byName[m.name] = m
	return m, true
}

// All returns the members ordered by name.
func (ms *Members) All() []Member {
	all := make([]Member, 0, len(ms.byName))
	for _, m := range ms.byName {
		all = append(all, m)
	}
	sort.Slice(all, func(a, b int) bool { return all[a].name < all[b].name })
	return all
}

// EncodeMember encodes the record by which an entry announces itself.
func EncodeMember(name string, incarnation jayattempt.Incarnation, link string) ([]byte, error) {
	return encode(MembersStream, kindMember, wireMember{Name: name, Incarnation: uint64(incarnation), Link: link})
}
