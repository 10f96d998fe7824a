package jaygang

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/request/jayattempt"
)

// The answer of a gang that ended while it was being moved was dropped: its job started again
// or, if it must not run twice, was refused as stopped without a checkpoint.
func TestAnswerDuringAMoveCounts(t *testing.T) {
	g := New(jayattempt.NewID(1, 1), 1, time.Second, time.Second, 0)
	_, err := g.Commit([]uint64{7}, 0)
	assert.NilError(t, err)
	_, err = g.Join(0, 7, 0)
	assert.NilError(t, err)
	assert.Equal(t, g.Phase(), Started)
	g.Stop(Stopped, "moved by its entry", time.Millisecond)
	g.MemberEnded(0, Answered, []byte("answer"), "", 2*time.Millisecond)
	assert.Equal(t, g.Result(), Answered)
	assert.DeepEqual(t, g.Answers(), [][]byte{[]byte("answer")})
}

// startedPair returns a started gang of two members.
func startedPair(t *testing.T) *Gang {
	g := New(jayattempt.NewID(1, 1), 2, time.Second, time.Second, 0)
	_, err := g.Commit([]uint64{7, 8}, 0)
	assert.NilError(t, err)
	for i, token := range []uint64{7, 8} {
		_, err = g.Join(i, token, 0)
		assert.NilError(t, err)
	}
	for i := range 2 {
		g.MemberPrepared(i, true, "", 0)
	}
	assert.Equal(t, g.Phase(), Started)
	return g
}

func TestMoveIsAnsweredOnlyIfAllMembersAnswer(t *testing.T) {
	answers := startedPair(t)
	answers.MemberEnded(0, Answered, []byte("first"), "", time.Millisecond)
	answers.Stop(Stopped, "moved by its entry", 2*time.Millisecond)
	assert.Equal(t, answers.Result(), Stopped)
	answers.MemberEnded(1, Answered, []byte("second"), "", 3*time.Millisecond)
	assert.Equal(t, answers.Result(), Answered)
	assert.Equal(t, answers.Cause(), "")
	assert.DeepEqual(t, answers.Answers(), [][]byte{[]byte("first"), []byte("second")})

	oneStops := startedPair(t)
	oneStops.MemberEnded(0, Stopped, nil, "stopped for other work", time.Millisecond)
	oneStops.MemberReleased(0)
	oneStops.MemberEnded(1, Answered, []byte("second"), "", 2*time.Millisecond)
	assert.Equal(t, oneStops.Result(), Stopped)

	canceled := startedPair(t)
	canceled.Stop(Canceled, "canceled by its caller", time.Millisecond)
	for i := range 2 {
		canceled.MemberEnded(i, Answered, []byte("answer"), "", 2*time.Millisecond)
	}
	assert.Equal(t, canceled.Result(), Canceled)
}

// The outcome of a settled gang has been sent and does not change.
func TestAnswerAfterSettlingIsDropped(t *testing.T) {
	g := startedPair(t)
	g.Stop(Stopped, "moved by its entry", time.Millisecond)
	assert.Assert(t, g.Settled(2*time.Second))
	for i := range 2 {
		g.MemberEnded(i, Answered, []byte("answer"), "", 2*time.Second)
	}
	assert.Equal(t, g.Result(), Stopped)
}
