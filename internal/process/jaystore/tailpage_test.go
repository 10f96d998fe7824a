package jaystore

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a part of a topic that is taken for all of it: a leader would run the jobs again
// whose states it has not read.
func TestPartOfATopicIsNotTakenForAll(t *testing.T) {
	record := func(key string) StoredRecord { return StoredRecord{Record: Record{Key: key, Value: []byte("1")}} }
	for _, c := range []struct {
		name  string
		pages map[string]Page
		want  []string
	}{
		{"no readable record on the first page", map[string]Page{"": {Unreadable: 2, LastKey: "b", More: true}, "b": {Records: []StoredRecord{record("c")}}}, []string{"c"}},
		{"no readable record at the end of a page", map[string]Page{"": {Records: []StoredRecord{record("a")}, Unreadable: 1, LastKey: "b", More: true}, "b": {Records: []StoredRecord{record("c")}}}, []string{"a", "c"}},
		{"no readable key", map[string]Page{"": {Unreadable: 2, More: true}}, nil},
		{"no further key", map[string]Page{"": {Records: []StoredRecord{record("a")}, More: true}, "a": {Records: []StoredRecord{record("a")}, More: true}}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := &Client{Newest: func(_ context.Context, _, after string) (Page, error) { return c.pages[after], nil }}
			all, err := LoadAll(t.Context(), client, "topic", func(error) {})
			var incomplete *IncompleteError
			assert.Equal(t, errors.As(err, &incomplete), c.want == nil, "%v", err)
			var keys []string
			for _, r := range all {
				keys = append(keys, r.Key)
			}
			assert.DeepEqual(t, keys, c.want)
		})
	}
}
