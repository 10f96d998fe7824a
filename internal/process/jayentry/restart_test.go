package jayentry

import (
	"net"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/connection/jaylink"
	"github.com/jaystile/jaystile/internal/request/jayattempt"
	"github.com/jaystile/jaystile/internal/request/jayjob"
	"github.com/jaystile/jaystile/internal/version/jaysettings"
)

// newLockedEntry returns an entry that serves nothing and whose mutex is held.
func newLockedEntry(t *testing.T) *Entry {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	settings := jaysettings.DefaultEntry()
	settings.Name = "entry-1"
	e, closeEntry := New(settings, listener, listener, zerolog.Nop())
	t.Cleanup(closeEntry)
	e.mutex.Lock()
	t.Cleanup(e.mutex.Unlock)
	return e
}

// Requests that were lost with an earlier life of a runner's agent counted as failures of the
// next one, which was ejected before it had been sent any.
func TestLostRequestsDoNotEjectTheRestartedRunner(t *testing.T) {
	e := newLockedEntry(t)
	for _, name := range []string{"side-1", "side-2", "side-3"} {
		e.agentOpened(nil, &jayframe.Hello{Role: jayframe.RoleAgent, Name: name, Incarnation: 1, Slots: 8})
	}
	shape, err := jayjob.NewShape(1, 0, jayjob.Anywhere)
	assert.NilError(t, err)
	for range 3 {
		spec, err := jayjob.New(jayjob.Fields{Workspace: "w", Kind: "order", Shape: shape, Idempotent: true, Payload: []byte("pallet")})
		assert.NilError(t, err)
		j := newJob(jobPrefix+e.ids.Next().String(), spec, e.now())
		e.jobs[j.id] = j
		a := e.newAttempt(j, []string{"side-1"}, e.agents["side-1"], e.now())
		a.routed = true
		e.transition(a, jayattempt.Sent)
	}
	e.agentOpened(nil, &jayframe.Hello{Role: jayframe.RoleAgent, Name: "side-1", Incarnation: 2, Slots: 8})
	assert.Equal(t, e.router.Pick(e.now(), map[string]bool{"side-2": true, "side-3": true}), "side-1")
	e.resolveStale(e.now())
	assert.Equal(t, len(e.attempts), 0)
	assert.Equal(t, e.router.EjectedCount(e.now()), 0)
	runner := e.router.Runner("side-1")
	assert.Equal(t, runner.Outstanding(), 1, "requests of the present life")
	assert.Equal(t, runner.Limit(), 4.0)
}

// An outcome or a request that was lost with a link was asked for only after 2 s, when the agent
// might have ended gracefully.
func TestAttemptsAreAskedForOnceTheirAgentIsLinkedAgain(t *testing.T) {
	e := newLockedEntry(t)
	shape, err := jayjob.NewShape(1, 0, jayjob.Anywhere)
	assert.NilError(t, err)
	attempts := map[string]*attempt{}
	for _, name := range []string{"side-1", "side-2"} {
		e.agentOpened(&jaylink.Link{}, &jayframe.Hello{Role: jayframe.RoleAgent, Name: name, Incarnation: 1, Slots: 8})
		spec, err := jayjob.New(jayjob.Fields{Workspace: "w", Kind: "order", Shape: shape, Idempotent: true, Payload: []byte("pallet")})
		assert.NilError(t, err)
		j := newJob(jobPrefix+e.ids.Next().String(), spec, e.now())
		e.jobs[j.id] = j
		a := e.newAttempt(j, []string{name}, e.agents[name], e.now())
		a.routed = true
		e.transition(a, jayattempt.Sent)
		attempts[name] = a
	}
	e.agentOpened(&jaylink.Link{}, &jayframe.Hello{Role: jayframe.RoleAgent, Name: "side-1", Incarnation: 1, Slots: 8})
	e.resolveStale(e.now())
	assert.Assert(t, attempts["side-1"].resolving)
	assert.Assert(t, !attempts["side-2"].resolving)
}
