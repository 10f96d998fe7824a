package jaycontroller

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/connection/jaylink"
	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/process/jayclock"
	"github.com/jaystile/jaystile/internal/process/jaystore"
	"github.com/jaystile/jaystile/internal/version/jayconfig"
)

const (
	// tailWait is how long a read of the store waits for news: with the time-out
	// of a call it bounds how long a silent connection hides a new configuration.
	tailWait = time.Second
	// cellWait is the same for the term, which links tell as well, and jobsWait for
	// jobs and their states, which peers spread: these are read to learn of what was
	// missed. Each entry's reads of one second each would be half of all calls.
	cellWait = 1500 * time.Millisecond
	jobsWait = 2 * time.Second
	// jobsPause rests the follower of the jobs' topic: peers spread records sooner.
	jobsPause = 400 * time.Millisecond
	// runsPause rests the follower of the holder's topic, of which every entry hears
	// the states from the holder itself.
	runsPause = time.Second
	// linkBeat and linkSilence notice a dead holder of the term within a second.
	linkBeat    = 250 * time.Millisecond
	linkSilence = 800 * time.Millisecond
	dialTimeout = 500 * time.Millisecond
	dialPause   = 100 * time.Millisecond
	// maxLinks bounds the links from sides and entries.
	maxLinks = 4096
	// announceEvery repeats an entry's address until it is stored.
	announceTimeout = 2 * time.Second
	announcePause   = 5 * time.Second
)

// Topics names the store's topics and the key of the configuration.
type Topics struct {
	Operator string
	Cell     string
	// Jobs holds what entries store for callers: accepted jobs and cancellations.
	Jobs string
	// Runs holds what the holder of the term stores: units and states of jobs.
	Runs      string
	ConfigKey string
}

// Timing holds the durations of the deployment that decisions depend on.
type Timing struct {
	Lease           time.Duration
	Retention       time.Duration
	StopTimeout     time.Duration
	GangTimeout     time.Duration
	ReclaimDeadline time.Duration
	// Far is how many times longer work takes that is far from its rack.
	RemoteSlowdown float64
}

// Hub is one entry. Its exported fields are set before Run.
type Controller struct {
	Name       string
	DataCentre string
	// Address is where other processes open links; Boot tells this life of the
	// process from others of the same name.
	Address     string
	Incarnation uint64
	// Cores is this process's processor, zero when it is not known.
	Cores  float64
	Timing Timing
	Topics Topics
	Logger zerolog.Logger
	// Direct sends a request straight to the store, MakeClient makes a client over
	// a way to send requests.
	StoreTransport func(ctx context.Context, x jaystore.Request) (jaystore.Response, error)
	NewStoreClient func(do func(ctx context.Context, x jaystore.Request) (jaystore.Response, error)) *jaystore.Client
	// Advise asks which of some runners may run a step: it returns their tickets and
	// how long these hold. It is nil where there is no advice service.
	Advise func(ctx context.Context, step string, runners []string) (tickets map[string]string, valid time.Duration, err error)
	// DecodeConfig reads a configuration; entries that cannot be read come back as
	// errors.
	DecodeConfig func(b []byte) (*jayconfig.Config, []error)

	listener net.Listener
	endpoint *jaylink.Endpoint
	path     *jaystore.Transport
	client   *jaystore.Client
	jobs     *jobTable
	jobsPut  *jaystore.Appender
	cellTail *jaystore.Tail
	jobsTail *jaystore.Tail
	runsTail *jaystore.Tail
	operTail *jaystore.Tail
	config   atomic.Pointer[jayconfig.Config]
	tasks    conc.WaitGroup
	ctx      context.Context
	vacant   chan struct{}
	// resignedTerm is the newest term whose holder has given it up.
	resignedTerm atomic.Uint64

	// mutex guards what follows. It is taken before a lead's mutex, never after.
	mutex       sync.Mutex
	term        Term
	lead        *lead
	holder      *jaylink.Link
	entries     map[string]string
	strengths   map[string]float64
	peers       map[*jaylink.Link]string
	sides       map[string]*jaylink.Link
	draining    bool
	termChanged notice
}

// New returns an entry that takes links on the listener.
func New(listener net.Listener) *Controller {
	return &Controller{listener: listener, entries: map[string]string{}, strengths: map[string]float64{}, peers: map[*jaylink.Link]string{}, sides: map[string]*jaylink.Link{}, vacant: make(chan struct{}, 1)}
}

// Prepare connects the parts; it is called once, after the fields are set.
func (h *Controller) Prepare() {
	if h.Advise == nil {
		h.Advise = noAdvice
	}
	h.path = &jaystore.Transport{Direct: h.StoreTransport, Relay: h.relay, HasPeer: h.hasPeer, OnRouteChange: func(through bool, cause string) {
		h.Logger.Warn().Str("event", "dependency").Str("dependency", "store").Bool("through_peer", through).Str("cause", cause).Msg("way to the store changed")
	}}
	h.client = h.NewStoreClient(h.path.Do)
	h.jobs = newJobTable(h.Logger)
	h.jobs.accepted, h.jobs.canceled = h.accepted, h.canceled
	h.jobsPut = jaystore.NewAppender(h.client, h.Topics.Jobs)
	h.cellTail = &jaystore.Tail{Client: h.client, Topic: h.Topics.Cell, Apply: h.applyCell, Wait: cellWait, OnError: h.tailFailed(h.Topics.Cell)}
	h.jobsTail = &jaystore.Tail{Client: h.client, Topic: h.Topics.Jobs, Wait: jobsWait, BatchDelay: jobsPause, OnError: h.tailFailed(h.Topics.Jobs), Replace: h.jobs.replace, Apply: func(s jaystore.StoredRecord) { h.jobs.apply(s.Key, s.Value) }}
	h.runsTail = &jaystore.Tail{Client: h.client, Topic: h.Topics.Runs, Wait: jobsWait, BatchDelay: runsPause, OnError: h.tailFailed(h.Topics.Runs), Apply: func(s jaystore.StoredRecord) {
		if jaycell.IsStateKey(s.Key) {
			h.jobs.apply(s.Key, s.Value)
		}
	}}
	h.operTail = &jaystore.Tail{Client: h.client, Topic: h.Topics.Operator, Wait: tailWait, OnError: h.tailFailed(h.Topics.Operator), Apply: h.applyOperator}
	h.endpoint = &jaylink.Endpoint{
		Name: h.Name, Incarnation: h.Incarnation, Timing: jaylink.Timing{HeartbeatInterval: linkBeat, SilenceTimeout: linkSilence}, MaxLinks: maxLinks,
		Handler: h.handle, MakeHeartbeat: func() jayframe.Heartbeat { return jayframe.Heartbeat{} },
		Admit: func(*jayframe.Hello) (*jayframe.HelloReply, error) {
			return &jayframe.HelloReply{Entries: h.addresses()}, nil
		},
		Opened: h.opened, Closed: h.ended,
	}
}

// Run serves until ctx ends.
func (h *Controller) Run(ctx context.Context) error {
	h.ctx = ctx
	var failed error
	var wg conc.WaitGroup
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wg.Go(func() {
		if err := h.endpoint.Serve(ctx, h.listener); err != nil {
			failed = fmt.Errorf("serve links: %w", err)
			cancel()
		}
	})
	for _, t := range []*jaystore.Tail{h.cellTail, h.jobsTail, h.runsTail, h.operTail} {
		wg.Go(func() { t.Run(ctx) })
	}
	wg.Go(func() { h.jobsPut.Run(ctx) })
	wg.Go(func() { h.elect(ctx) })
	wg.Go(func() { h.follow(ctx) })
	wg.Go(func() { h.announce(ctx) })
	wg.Wait()
	h.tasks.Wait()
	return failed
}

// announce stores this entry's address.
func (h *Controller) announce(ctx context.Context) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, announceTimeout)
		_, err := h.client.Append(call, jaystore.Append{Topic: h.Topics.Cell, Records: []jaystore.Record{{Key: entryPrefix + h.Name, Value: entryValue(h.Address, h.Cores)}}})
		cancel()
		if err == nil {
			return
		}
		h.Logger.Warn().Str("event", "announce").Err(err).Msg("cannot store this entry's address; trying again")
		select {
		case <-ctx.Done():
		case <-time.After(announcePause):
		}
	}
}

// tailFailed returns a function that logs the failures of a topic's reads.
func (h *Controller) tailFailed(topic string) func(error) {
	var last time.Duration
	return func(err error) {
		// One line a second is enough to see an outage begin and go on.
		if now := jayclock.Elapsed(); now-last > time.Second {
			last = now
			h.Logger.Warn().Str("event", "dependency").Str("dependency", "store").Str("topic", topic).Err(err).Msg("cannot read a topic")
		}
	}
}

func (h *Controller) applyOperator(s jaystore.StoredRecord) {
	if s.Key != h.Topics.ConfigKey || s.Value == nil {
		return
	}
	c, faults := h.DecodeConfig(s.Value)
	for _, f := range faults {
		h.Logger.Error().Str("event", "config").Err(f).Msg("skipping what cannot be read of the configuration")
	}
	if c == nil {
		return
	}
	old := h.config.Load()
	if old != nil && c.Version() <= old.Version() {
		return
	}
	h.config.Store(c)
	h.Logger.Info().Str("event", "config").Uint64("version", c.Version()).Uint64("offset", s.Offset).Msg("configuration is in force")
	if l := h.leading(); l != nil {
		Signal(l.kick)
	}
}

// leading returns the lead while this entry holds the term.
func (h *Controller) leading() *lead {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.lead
}

// Drain stops taking part in elections and hands the term over. It returns when
// another entry holds the term or after the time given.
func (h *Controller) Drain(most time.Duration) {
	h.mutex.Lock()
	h.draining = true
	l := h.lead
	peers := len(h.peers)
	changed := h.termChanged.wait()
	h.mutex.Unlock()
	h.Logger.Info().Str("event", "drain").Bool("holds_term", l != nil).Int("peers", peers).Msg("shutting down")
	if l == nil || peers == 0 {
		return
	}
	l.resign()
	h.spread(&jayframe.CellResign{Term: l.term})
	select {
	case <-changed:
	case <-time.After(most):
	}
}

// Ready reports whether this entry can serve callers, and why not.
func (h *Controller) Ready() (bool, string) {
	h.mutex.Lock()
	draining := h.draining
	h.mutex.Unlock()
	age, loaded := h.jobsTail.Age()
	_, stated := h.runsTail.Age()
	switch {
	case draining:
		return false, "draining"
	case h.config.Load() == nil:
		return false, "no configuration"
	case !loaded, !stated:
		return false, "jobs not read"
	case age > readyWithin:
		return false, "store out of reach"
	}
	return true, ""
}

// readyWithin is how old an entry's knowledge may be for it to take new
// connections: longer than a slow store's answer, shorter than an outage.
const readyWithin = 4 * time.Second

// Config returns the configuration in force, or nil before there is one.
func (h *Controller) Config() *jayconfig.Config { return h.config.Load() }
