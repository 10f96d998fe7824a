package jaymanifest

import (
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
	"sort"
	"strings"

	"github.com/jaystile/jaystile/internal/request/jayjob"
	"github.com/jaystile/jaystile/internal/request/jayjson"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

type wireManifest struct {
	Format     int64           `json:"format"`
	Base       uint64          `json:"base"`
	Deployment string          `json:"deployment"`
	Weights    wireWeights     `json:"weights"`
	Workspaces []wireWorkspace `json:"workspaces"`
}

type wireWeights struct {
	Completion    float64 `json:"completion"`
	Fragmentation float64 `json:"fragmentation"`
}

type wireWorkspace struct {
	Name       string          `json:"name"`
	KeySalt    string          `json:"key_salt"`
	KeyHash    string          `json:"key_hash"`
	Quota      int             `json:"quota_accelerators"`
	Share      int             `json:"share"`
	QueueLimit int             `json:"queue_limit,omitempty"`
	Guarantees []wireGuarantee `json:"guarantees"`
}

type wireGuarantee struct {
	Name         string `json:"name"`
	Members      int    `json:"members"`
	Accelerators int    `json:"accelerators"`
	Near         string `json:"near"`
}

// Problem is one invalid value in a manifest.
type Problem struct {
	// Location is a path such as "workspaces[0].share", or a line for syntax errors.
	Location string
	Value    string
	Allowed  string
}

// String formats the problem for error messages.
func (p Problem) String() string {
	return fmt.Sprintf("%s: given %s, allowed %s", p.Location, p.Value, p.Allowed)
}

// InvalidError lists the problems of a manifest, at most maxProblems.
type InvalidError struct{ Problems []Problem }

// Error implements error.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return "manifest: " + strings.Join(lines, "; ")
}

// maxProblems bounds the problems that are listed.
const maxProblems = 200

type checker struct{ problems []Problem }

func (c *checker) addProblem(location, allowed string, value any) {
	if len(c.problems) == maxProblems {
		return
	}
	c.problems = append(c.problems, Problem{Location: location, Value: fmt.Sprintf("%q", fmt.Sprint(value)), Allowed: allowed})
}

func (c *checker) checkRange(location string, v, low, high int) {
	if v < low || v > high {
		c.addProblem(location, fmt.Sprintf("%d to %d", low, high), v)
	}
}

// Parse decodes and validates a manifest. Unknown fields, trailing bytes and
// values out of range are errors; the InvalidError lists all problems found.
func Parse(source []byte) (*Manifest, error) {
	if len(source) > MaxManifestBytes {
		return nil, &InvalidError{Problems: []Problem{{Location: "size", Value: fmt.Sprint(len(source)), Allowed: fmt.Sprintf("0 to %d bytes", MaxManifestBytes)}}}
	}
	if err := checkCounts(source); err != nil {
		return nil, err
	}
	var w wireManifest
	d := json.NewDecoder(bytes.NewReader(source))
	d.DisallowUnknownFields()
	if err := d.Decode(&w); err != nil {
		return nil, syntaxError(source, d.InputOffset(), err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, syntaxError(source, d.InputOffset(), errors.New("bytes after the manifest"))
	}
	return buildManifest(w, source)
}

func syntaxError(source []byte, offset int64, err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		offset = typeError.Offset
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		offset = syntax.Offset
	}
	line := 1 + bytes.Count(source[:min(int(offset), len(source))], []byte("\n"))
	return &InvalidError{Problems: []Problem{{Location: fmt.Sprintf("line %d", line), Value: err.Error(), Allowed: "the JSON of docs/operations/manifest.md"}}}
}

// checkCounts returns an InvalidError if a list is too long to be decoded. Other errors are left to the
// decoder.
func checkCounts(source []byte) error {
	var w struct{ Workspaces json.RawMessage }
	if json.NewDecoder(bytes.NewReader(source)).Decode(&w) != nil {
		return nil
	}
	if err := jayjson.CheckCount(w.Workspaces, "workspaces", MaxWorkspaces); err != nil {
		return countError("workspaces", MaxWorkspaces, err)
	}
	i := 0
	for element := range jayjson.Elements(w.Workspaces) {
		var ww struct{ Guarantees json.RawMessage }
		if json.Unmarshal(element, &ww) != nil {
			return nil
		}
		if err := jayjson.CheckCount(ww.Guarantees, "guarantees", MaxGuarantees); err != nil {
			return countError(fmt.Sprintf("workspaces[%d].guarantees", i), MaxGuarantees, err)
		}
		i++
	}
	return nil
}

func countError(location string, most int, err error) error {
	return &InvalidError{Problems: []Problem{{Location: location, Value: err.Error(), Allowed: fmt.Sprintf("0 to %d", most)}}}
}

func buildManifest(w wireManifest, source []byte) (*Manifest, error) {
	c := &checker{}
	if w.Format != currentFormat {
		c.addProblem("format", fmt.Sprint(currentFormat), w.Format)
	}
	if !namePattern.MatchString(w.Deployment) {
		c.addProblem("deployment", namePattern.String(), w.Deployment)
	}
	if w.Weights.Completion < 0 || w.Weights.Fragmentation < 0 || w.Weights.Completion+w.Weights.Fragmentation <= 0 {
		c.addProblem("weights", "two numbers of at least 0 that are not both 0", w.Weights)
	}
	c.checkRange("workspaces", len(w.Workspaces), 0, MaxWorkspaces)
	m := &Manifest{base: w.Base, deployment: w.Deployment, source: source, digest: sha256.Sum256(source), workspaces: map[string]*Workspace{}}
	for i, ww := range w.Workspaces {
		workspace := buildWorkspace(c, fmt.Sprintf("workspaces[%d]", i), ww)
		if m.workspaces[workspace.name] != nil {
			c.addProblem(fmt.Sprintf("workspaces[%d].name", i), "a name that is used once", workspace.name)
		}
		m.workspaces[workspace.name] = workspace
		m.names = append(m.names, workspace.name)
	}
	if len(c.problems) > 0 {
		return nil, &InvalidError{Problems: c.problems}
	}
	m.weights = NewWeights(w.Weights.Completion, w.Weights.Fragmentation)
	sort.Strings(m.names)
	return m, nil
}

func buildWorkspace(c *checker, location string, w wireWorkspace) *Workspace {
	if !namePattern.MatchString(w.Name) {
		c.addProblem(location+".name", namePattern.String(), w.Name)
	}
	salt, err := hex.DecodeString(w.KeySalt)
	if err != nil || len(salt) != saltBytes {
		c.addProblem(location+".key_salt", fmt.Sprintf("%d bytes in hexadecimal", saltBytes), w.KeySalt)
	}
	hash, err := hex.DecodeString(w.KeyHash)
	if err != nil || len(hash) != sha256.Size {
		c.addProblem(location+".key_hash", fmt.Sprintf("%d bytes in hexadecimal", sha256.Size), w.KeyHash)
	}
	c.checkRange(location+".quota_accelerators", w.Quota, 0, MaxQuota)
	c.checkRange(location+".share", w.Share, 1, MaxShare)
	c.checkRange(location+".queue_limit", w.QueueLimit, 0, MaxQuota)
	c.checkRange(location+".guarantees", len(w.Guarantees), 0, MaxGuarantees)
	workspace := &Workspace{name: w.Name, salt: salt, quota: w.Quota, share: w.Share, queueLimit: w.QueueLimit}
	copy(workspace.hash[:], hash)
	seen := map[string]bool{}
	total := 0
	for i, wg := range w.Guarantees {
		guaranteeLocation := fmt.Sprintf("%s.guarantees[%d]", location, i)
		g, ok := buildGuarantee(c, guaranteeLocation, w.Name, wg)
		if seen[wg.Name] {
			c.addProblem(guaranteeLocation+".name", "a name that is used once", wg.Name)
		}
		seen[wg.Name] = true
		if ok {
			workspace.guarantees = append(workspace.guarantees, g)
			total += g.shape.TotalAccelerators()
		}
	}
	if w.Quota > 0 && total > w.Quota {
		c.addProblem(location+".quota_accelerators", fmt.Sprintf("at least the %d that are guaranteed", total), w.Quota)
	}
	return workspace
}

func buildGuarantee(c *checker, location, workspace string, w wireGuarantee) (Guarantee, bool) {
	if !namePattern.MatchString(w.Name) {
		c.addProblem(location+".name", namePattern.String(), w.Name)
	}
	locality, err := jayjob.ParseLocality(w.Near)
	if err != nil {
		c.addProblem(location+".near", "worker, rack, data_centre or anywhere", w.Near)
		return Guarantee{}, false
	}
	if w.Accelerators < 1 {
		c.addProblem(location+".accelerators", "at least 1", w.Accelerators)
		return Guarantee{}, false
	}
	shape, err := jayjob.NewShape(w.Members, w.Accelerators, locality)
	if err != nil {
		c.addProblem(location, err.Error(), fmt.Sprintf("%dx%d", w.Members, w.Accelerators))
		return Guarantee{}, false
	}
	return NewGuarantee(workspace, w.Name, shape), true
}

// Credential is the salted hash of a workspace's key, as a manifest stores it.
type Credential struct{ salt, hash string }

// NewCredential hashes a key with a random salt.
func NewCredential(key string) Credential {
	salt := make([]byte, saltBytes)
	_, _ = rand.Read(salt)
	return newCredential(salt, key)
}

// DeterministicCredential hashes a key with a salt derived from the key, for
// generated manifests that must be identical in every run.
func DeterministicCredential(key string) Credential {
	salt := sha256.Sum256([]byte("salt " + key))
	return newCredential(salt[:saltBytes], key)
}

func newCredential(salt []byte, key string) Credential {
	hash := HashKey(salt, key)
	return Credential{salt: hex.EncodeToString(salt), hash: hex.EncodeToString(hash[:])}
}

// Draft is an unpublished manifest built by a program.
type Draft struct {
	Base       uint64
	Deployment string
	Weights    Weights
	Workspaces []DraftWorkspace
}

// DraftWorkspace is one workspace of a draft.
type DraftWorkspace struct {
	Name       string
	Key        Credential
	Quota      int
	Share      int
	QueueLimit int
	Guarantees []Guarantee
}

// Encode returns the draft as JSON that Parse accepts.
func (d Draft) Encode() ([]byte, error) {
	w := wireManifest{Format: currentFormat, Base: d.Base, Deployment: d.Deployment, Weights: wireWeights{Completion: d.Weights.completion, Fragmentation: d.Weights.fragmentation}}
	for _, s := range d.Workspaces {
		ww := wireWorkspace{Name: s.Name, KeySalt: s.Key.salt, KeyHash: s.Key.hash, Quota: s.Quota, Share: s.Share, QueueLimit: s.QueueLimit}
		for _, g := range s.Guarantees {
			ww.Guarantees = append(ww.Guarantees, wireGuarantee{Name: g.name, Members: g.shape.Members(), Accelerators: g.shape.Accelerators(), Near: g.shape.Locality().String()})
		}
		w.Workspaces = append(w.Workspaces, ww)
	}
	b, err := json.MarshalIndent(w, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode manifest: %w", err)
	}
	return append(b, '\n'), nil
}

// String formats the salt and hash as members of a manifest's JSON object.
func (c Credential) String() string {
	return fmt.Sprintf("\"key_salt\": %q, \"key_hash\": %q", c.salt, c.hash)
}
