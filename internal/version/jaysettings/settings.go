// Package jaysettings parses and validates the INI settings of each role. Every
// error names the file, line and key.
package jaysettings

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Problem is one invalid value in a settings file.
type Problem struct {
	File    string
	Line    int
	Key     string
	Value   string
	Allowed string
}

// String formats the problem for error messages.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: given %q, allowed: %s", p.File, p.Line, p.Key, p.Value, p.Allowed)
}

// InvalidError lists all problems of a settings file.
type InvalidError struct{ Problems []Problem }

// Error implements error.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// field is one key of a role's settings with its documentation and parser.
type field struct {
	section  string
	key      string
	doc      string
	allowed  string
	example  string
	required bool
	// set stores the value and reports whether it is valid.
	set func(string) bool
}

func (f field) name() string { return f.section + "." + f.key }

func text(section, key, doc, example string, required bool, target *string) field {
	return field{section: section, key: key, doc: doc, allowed: "text of 1 to 128 bytes", example: example, required: required, set: func(s string) bool {
		*target = s
		return len(s) <= 128 && (s != "" || !required)
	}}
}

func address(section, key, doc, example string, required bool, target *string) field {
	return field{section: section, key: key, doc: doc, allowed: "IP:port", example: example, required: required, set: func(s string) bool {
		*target = s
		return validAddress(s) || (s == "" && !required)
	}}
}

func addresses(section, key, doc, example string, target *[]string) field {
	return field{section: section, key: key, doc: doc, allowed: "IP:port, separated by commas", example: example, required: true, set: func(s string) bool {
		*target = nil
		for _, a := range strings.Split(s, ",") {
			a = strings.TrimSpace(a)
			if !validAddress(a) {
				return false
			}
			*target = append(*target, a)
		}
		return true
	}}
}

func validAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n >= 0 && n <= 65535
}

func integer(section, key, doc string, low, high int, target *int) field {
	return field{section: section, key: key, doc: doc, allowed: fmt.Sprintf("whole number from %d to %d", low, high), example: strconv.Itoa(*target), set: func(s string) bool {
		n, err := strconv.Atoi(s)
		*target = n
		return err == nil && n >= low && n <= high
	}}
}

func duration(section, key, doc string, low, high time.Duration, target *time.Duration) field {
	return field{section: section, key: key, doc: doc, allowed: fmt.Sprintf("duration with its unit from %s to %s", low, high), example: target.String(), set: func(s string) bool {
		d, err := time.ParseDuration(s)
		*target = d
		return err == nil && d >= low && d <= high
	}}
}

// Source is the unparsed content of a settings file.
type Source struct {
	file  string
	bytes []byte
}

// NewSource returns a source with the content; file is its name in errors.
func NewSource(file string, content []byte) Source { return Source{file: file, bytes: content} }

// ReadSource reads a settings file.
func ReadSource(file string) (Source, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return Source{}, fmt.Errorf("read settings: %w", err)
	}
	return NewSource(file, b), nil
}

// decode validates the source against the fields and sets their targets.
func (s Source) decode(fields []field) error {
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, SpaceBeforeInlineComment: true}, s.bytes)
	if err != nil {
		return &InvalidError{Problems: []Problem{{File: s.file, Line: s.syntaxLine(err), Key: "syntax", Value: err.Error(), Allowed: "INI: [section] and key = value"}}}
	}
	known := map[string]field{}
	for _, f := range fields {
		known[f.name()] = f
	}
	var problems []Problem
	present := map[string]bool{}
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			name := section.Name() + "." + key.Name()
			present[name] = true
			if p, invalid := s.checkKey(known, name, key); invalid {
				problems = append(problems, p)
			}
		}
	}
	for _, f := range fields {
		if f.required && !present[f.name()] {
			problems = append(problems, Problem{File: s.file, Line: s.line(f.section, ""), Key: f.name(), Value: "", Allowed: f.allowed + " (required)"})
		}
	}
	if len(problems) > 0 {
		sort.SliceStable(problems, func(i, j int) bool { return problems[i].Line < problems[j].Line })
		return &InvalidError{Problems: problems}
	}
	return nil
}

// checkKey stores the value of one key and returns a problem if it is invalid.
func (s Source) checkKey(known map[string]field, name string, key *ini.Key) (Problem, bool) {
	section, keyName, _ := strings.Cut(name, ".")
	p := Problem{File: s.file, Line: s.line(section, keyName), Key: name, Value: key.Value()}
	f, ok := known[name]
	if !ok {
		p.Allowed = "no such key; the keys are those of `jaystile settings example`"
		return p, true
	}
	p.Allowed = f.allowed
	if len(key.ValueWithShadows()) > 1 {
		p.Value = strings.Join(key.ValueWithShadows(), ", ")
		p.Allowed = "the key once"
		return p, true
	}
	return p, !f.set(strings.TrimSpace(key.Value()))
}

// syntaxLine returns the first line that is not blank, a comment, a section or an
// assignment.
func (s Source) syntaxLine(error) int {
	scanner := bufio.NewScanner(bytes.NewReader(s.bytes))
	for n := 1; scanner.Scan(); n++ {
		t := strings.TrimSpace(scanner.Text())
		if t == "" || t[0] == '#' || t[0] == ';' || (t[0] == '[' && t[len(t)-1] == ']') || strings.ContainsAny(t, "=:") {
			continue
		}
		return n
	}
	return 1
}

// line returns the line of a key, or that of its section if the key is empty or
// absent.
func (s Source) line(section, key string) int {
	current := ini.DefaultSection
	found := 1
	scanner := bufio.NewScanner(bytes.NewReader(s.bytes))
	for n := 1; scanner.Scan(); n++ {
		t := strings.TrimSpace(scanner.Text())
		if strings.HasPrefix(t, "[") && strings.HasSuffix(t, "]") {
			current = strings.TrimSpace(t[1 : len(t)-1])
			if current == section {
				found = n
			}
			continue
		}
		separator := strings.IndexAny(t, "=:")
		if current == section && separator > 0 && strings.TrimSpace(t[:separator]) == key && key != "" {
			return n
		}
	}
	return found
}

// example formats valid settings, with the meaning and allowed values of each key
// in a comment above it.
func example(fields []field) string {
	var b strings.Builder
	section := ""
	for _, f := range fields {
		if f.section != section {
			if section != "" {
				b.WriteString("\n")
			}
			section = f.section
			fmt.Fprintf(&b, "[%s]\n", section)
		}
		fmt.Fprintf(&b, "# %s (%s)\n%s = %s\n", f.doc, f.allowed, f.key, f.example)
	}
	return b.String()
}
