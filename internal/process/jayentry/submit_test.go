package jayentry

import (
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/process/jaylog"
	"github.com/jaystile/jaystile/internal/process/jaystate"
	"github.com/jaystile/jaystile/internal/request/jayattempt"
	"github.com/jaystile/jaystile/internal/request/jayjob"
	"github.com/jaystile/jaystile/internal/version/jaysettings"
	"github.com/jaystile/jaystile/pkg/jayapi"
)

// Three callers submit one key through three entries. An entry that reads the first
// job's claim before that job's own entry does gets no answer from it, and told its
// caller that the entry was lost.
func TestRepeatedKeyWaitsForItsFirstJob(t *testing.T) {
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		return l
	}
	settings := jaysettings.DefaultEntry()
	settings.Name = "entry-1"
	e, closeEntry := New(settings, listen(), listen(), zerolog.Nop())
	t.Cleanup(closeEntry)
	// The clock stands still, so that the wait does not time out.
	e.now = func() time.Duration { return time.Hour }

	shape, err := jayjob.NewShape(1, 0, jayjob.Anywhere)
	assert.NilError(t, err)
	spec, err := jayjob.New(jayjob.Fields{Workspace: "w", Kind: "order", Shape: shape, Key: "key", Payload: []byte("pallet")})
	assert.NilError(t, err)
	owner := jayattempt.NewIncarnation(time.Now().Add(-time.Minute))
	id := jobPrefix + jayattempt.NewID(owner, 1).String()
	put := func(offset uint64, record []byte, err error) *jaystate.Row {
		assert.NilError(t, err)
		e.mutex.Lock()
		defer e.mutex.Unlock()
		return e.jobTable.Apply(jaylog.NewRecord(offset, record))
	}
	record, err := jaystate.EncodeAccepted(id, owner, time.Now(), spec)
	row := put(0, record, err)

	type answer struct {
		job *jayapi.Job
		err error
	}
	answers := make(chan answer, 1)
	go func() {
		j, err := e.answerRepeated(row, submission{spec: spec, wait: true})
		answers <- answer{j, err}
	}()
	select {
	case a := <-answers:
		t.Fatalf("answered before the first job has ended: %v", a.err)
	case <-time.After(5 * claimRetryInterval):
	}
	record, err = jaystate.EncodeEnded(id, time.Now(), nil, [][]byte{[]byte("pallet")})
	put(1, record, err)
	a := <-answers
	assert.NilError(t, a.err)
	assert.Equal(t, a.job.State, jayapi.JobAnswered)
	assert.Equal(t, string(a.job.Answers[0]), "pallet")
}
