package jayconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"
)

// ChangeKind says how a part of a configuration differs from the version in force.
type ChangeKind uint8

// The kinds of changes.
const (
	Added ChangeKind = iota + 1
	Removed
	Changed
)

var changeKindNames = [...]string{Added: "added", Removed: "removed", Changed: "changed"}

// String returns the kind's name.
func (k ChangeKind) String() string { return changeKindNames[k] }

// Change is one difference between two configurations.
type Change struct {
	Kind ChangeKind
	// Subject is the part that changed, such as a route.
	Subject string
	// Field is the field that changed; it is empty if the subject as a whole was added
	// or removed.
	Field string
	// From and To are the former and the new value.
	From string
	To   string
}

// String formats the change as a line of a diff.
func (c Change) String() string {
	subject := c.Subject
	if c.Field != "" {
		subject += ": " + c.Field
	}
	switch c.Kind {
	case Added:
		return fmt.Sprintf("+ %s: %s", subject, c.To)
	case Removed:
		return fmt.Sprintf("- %s: %s", subject, c.From)
	}
	return fmt.Sprintf("~ %s: %s -> %s", subject, c.From, c.To)
}

// Diff lists the differences between two configurations. It compares the lists as
// decoded, so it includes entries that a later one replaces.
func Diff(from, to *Config) []Change {
	changes := diffFields("configuration", []field{{"version", fmt.Sprint(from.version)}}, []field{{"version", fmt.Sprint(to.version)}})
	for _, p := range pairEntries(from.routeList, to.routeList, routeSubject, routeName, routeAddress) {
		changes = append(changes, diffEntry(p, routeSubject, routeFields)...)
	}
	for _, p := range pairEntries(from.serviceList, to.serviceList, serviceSubject) {
		changes = append(changes, diffEntry(p, serviceSubject, serviceFields)...)
	}
	for _, p := range pairEntries(from.workspaceList, to.workspaceList, workspaceSubject) {
		changes = append(changes, diffEntry(p, workspaceSubject, workspaceFields)...)
		changes = append(changes, diffKeys(p)...)
	}
	return append(changes, diffFields("limits", limitFields(from.limits), limitFields(to.limits))...)
}

// KeyLabel returns a name for a key that does not reveal it: the first digits of its
// SHA-256 hash.
func KeyLabel(key string) string {
	hash := sha256.Sum256([]byte(key))
	return "key sha256:" + hex.EncodeToString(hash[:keyLabelBytes])
}

// keyLabelBytes is the number of bytes of a key's hash that are shown.
const keyLabelBytes = 4

// entryPair is an entry of two configurations. One of the two is nil if the entry was
// added or removed.
type entryPair[T any] struct{ from, to *T }

// pairEntries pairs the entries of two lists. It compares them by one key after the
// other, so a renamed or moved entry is paired with its former version unless an
// earlier key has paired that already.
func pairEntries[T any](from, to []T, keys ...func(T) string) []entryPair[T] {
	pairs, paired := make([]entryPair[T], len(to)), make([]bool, len(from))
	for i := range to {
		pairs[i].to = &to[i]
	}
	for _, key := range keys {
		unpaired := map[string][]int{}
		for i, f := range from {
			if !paired[i] {
				unpaired[key(f)] = append(unpaired[key(f)], i)
			}
		}
		for i, t := range to {
			if candidates := unpaired[key(t)]; pairs[i].from == nil && len(candidates) > 0 {
				pairs[i].from, paired[candidates[0]] = &from[candidates[0]], true
				unpaired[key(t)] = candidates[1:]
			}
		}
	}
	for i := range from {
		if !paired[i] {
			pairs = append(pairs, entryPair[T]{from: &from[i]})
		}
	}
	return pairs
}

func diffEntry[T any](p entryPair[T], subject func(T) string, fields func(T) []field) []Change {
	switch {
	case p.from == nil:
		return []Change{{Kind: Added, Subject: subject(*p.to), To: describe(fields(*p.to))}}
	case p.to == nil:
		return []Change{{Kind: Removed, Subject: subject(*p.from), From: describe(fields(*p.from))}}
	}
	return diffFields(subject(*p.to), fields(*p.from), fields(*p.to))
}

// diffKeys compares the API keys of a workspace.
func diffKeys(p entryPair[Workspace]) []Change {
	var from, to Workspace
	if p.from != nil {
		from = *p.from
	}
	if p.to != nil {
		to = *p.to
	}
	var changes []Change
	for _, k := range to.Keys {
		if !slices.Contains(from.Keys, k) {
			changes = append(changes, Change{Kind: Added, Subject: workspaceSubject(to), Field: "keys", To: KeyLabel(k)})
		}
	}
	for _, k := range from.Keys {
		if !slices.Contains(to.Keys, k) {
			changes = append(changes, Change{Kind: Removed, Subject: workspaceSubject(from), Field: "keys", From: KeyLabel(k)})
		}
	}
	return changes
}

// field is a named value of an entry, formatted for comparison.
type field struct{ name, value string }

// diffFields compares two entries that have the same fields.
func diffFields(subject string, from, to []field) []Change {
	var changes []Change
	for i, f := range from {
		if f.value != to[i].value {
			changes = append(changes, Change{Kind: Changed, Subject: subject, Field: f.name, From: f.value, To: to[i].value})
		}
	}
	return changes
}

func describe(fields []field) string {
	parts := make([]string, len(fields))
	for i, f := range fields {
		parts[i] = f.name + " " + f.value
	}
	return strings.Join(parts, ", ")
}

func routeName(r Route) string { return r.Name }

func routeAddress(r Route) string { return r.Host + r.Prefix }

func routeFields(r Route) []field {
	advice := "none"
	if a := r.Advice; a != nil {
		advice = fmt.Sprintf("%s and %s for each runner", a.Base, a.PerRunner)
	}
	return []field{
		{"name", fmt.Sprintf("%q", r.Name)}, {"host", fmt.Sprintf("%q", r.Host)}, {"prefix", fmt.Sprintf("%q", r.Prefix)}, {"service", fmt.Sprintf("%q", r.Service)},
		{"public", fmt.Sprint(r.Public)}, {"priority", fmt.Sprint(r.Priority)}, {"attempts", fmt.Sprint(r.MaxAttempts)}, {"stretch", fmt.Sprint(r.Stretch)},
		{"objective", r.Objective.String()}, {"timeout", r.Timeout.String()}, {"advice", advice},
	}
}

func serviceFields(s Service) []field { return []field{{"name", fmt.Sprintf("%q", s.Name)}} }

func workspaceFields(w Workspace) []field {
	return []field{{"guaranteed accelerators", fmt.Sprint(w.Guaranteed)}}
}

func limitFields(l Limits) []field {
	return []field{
		{"header size", formatBytes(l.HeaderBytes)}, {"body size", formatBytes(l.BodyBytes)},
		{"header timeout", formatTimeout(l.HeaderTimeout)}, {"idle timeout", formatTimeout(l.IdleTimeout)},
	}
}

func formatBytes(n int) string {
	if n <= 0 {
		return "none"
	}
	return fmt.Sprintf("%d bytes", n)
}

func formatTimeout(d time.Duration) string {
	if d <= 0 {
		return "none"
	}
	return d.String()
}
