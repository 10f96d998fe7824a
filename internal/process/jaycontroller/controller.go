// Package jaycontroller implements an entry: it accepts jobs from callers, stores them
// and reports their states. The entries that share the store's topics form a cell: they
// elect a leader, which schedules the cell's jobs with jaycell and sends orders to the
// agents of its runners.
//
// A Controller is made by New, configured through its fields, prepared by Prepare and
// run by Run. Callers' requests go to Submit, State and Cancel.
package jaycontroller

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/connection/jayhttp"
	"github.com/jaystile/jaystile/internal/connection/jaylink"
	"github.com/jaystile/jaystile/internal/process/jayassert"
	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/process/jayclock"
	"github.com/jaystile/jaystile/internal/process/jayevacuation"
	"github.com/jaystile/jaystile/internal/process/jaystore"
	"github.com/jaystile/jaystile/internal/version/jayconfig"
)

const (
	// configPollWait is the long-poll time of reads of the operator's topic. Together
	// with the timeout of a call it bounds how long a dead connection hides a new
	// configuration.
	configPollWait = time.Second
	// termPollWait and jobsPollWait are longer than that: links announce terms, and peers
	// broadcast jobs and their states, so these reads only recover what was missed. At
	// one second each, the reads of all entries would be half of all calls to the store.
	termPollWait = 1500 * time.Millisecond
	// leaderTermPollWait lets a leader know within isolationTimeout whether its term is still
	// the newest.
	leaderTermPollWait = 300 * time.Millisecond
	jobsPollWait       = 2 * time.Second
	// jobsPollDelay is the pause between reads of the jobs' topic: peers broadcast its
	// records sooner.
	jobsPollDelay = 400 * time.Millisecond
	// runsPollDelay is the same for the leader's topic, whose states the leader itself
	// broadcasts to every entry.
	runsPollDelay = time.Second
	// heartbeatInterval and silenceTimeout detect a dead leader within a second.
	heartbeatInterval = 250 * time.Millisecond
	silenceTimeout    = 800 * time.Millisecond
	// dialTimeout bounds opening a link to the leader, redialDelay is the pause before
	// the next attempt.
	dialTimeout = 500 * time.Millisecond
	redialDelay = 100 * time.Millisecond
	// maxLinks bounds the links from agents and entries.
	maxLinks = 4096
	// announceTimeout bounds one attempt to store this entry's address.
	announceTimeout    = 2 * time.Second
	announceRetryDelay = 5 * time.Second
)

// Topics holds the names of the store's topics and the key of the configuration.
type Topics struct {
	// Operator is where operators store the configuration, under ConfigKey.
	Operator string
	// Cell is where entries store terms and their addresses.
	Cell string
	// Jobs is where entries store accepted jobs and cancellations.
	Jobs string
	// Runs is where the leader stores units and states of jobs.
	Runs string
	// RunsStandby are topics for records of Runs while that topic does not answer.
	RunsStandby []string
	ConfigKey   string
	// EvacuationPrefix begins the keys in Operator that name the data centres that operators
	// take out of service.
	EvacuationPrefix string
}

// Timing holds the deployment's values of the fields of the same names in
// jaycell.Settings.
type Timing struct {
	Lease           time.Duration
	Retention       time.Duration
	StopTimeout     time.Duration
	GangTimeout     time.Duration
	ReclaimDeadline time.Duration
	RemoteSlowdown  float64
	// Evacuation is the time within which no more tasks start in a data centre that operators
	// take out of service; zero means that they take none.
	Evacuation time.Duration
}

// Controller runs one entry. Its exported fields are set before Prepare.
type Controller struct {
	Name       string
	DataCentre string
	// Address is where other processes open links.
	Address string
	// Incarnation differs between two starts of a process with the same name.
	Incarnation uint64
	// Cores is the number of CPU cores that this process may use, zero if unknown.
	Cores float64
	// Admission is set if jobs that certainly cannot be completed in time are refused.
	Admission bool
	Timing    Timing
	Topics    Topics
	Logger    zerolog.Logger
	// CallStore sends a request directly to the store.
	CallStore func(ctx context.Context, req jaystore.Request) (jaystore.Response, error)
	// LinkBudget bounds the connections of links that are not established yet; nil means a default.
	LinkBudget *jayhttp.Budget
	// StoreLimits are the sizes that the store accepts.
	StoreLimits jaystore.Limits
	// NewStoreClient returns a client that sends its requests with do.
	NewStoreClient func(do func(ctx context.Context, req jaystore.Request) (jaystore.Response, error)) *jaystore.Client
	// Advise asks the advice service which of the runners may run a step. It returns
	// an admission ticket by runner and how long the tickets are valid. It is nil
	// where there is no advice service.
	Advise func(ctx context.Context, step string, runners []string) (tickets map[string]string, valid time.Duration, err error)
	// DecodeConfig decodes a configuration. Parts that cannot be decoded are returned
	// as errors; the configuration is nil when none of it can be used.
	DecodeConfig func(b []byte) (*jayconfig.Config, []error)

	listener       net.Listener
	endpoint       *jaylink.Endpoint
	storeTransport *jaystore.Transport
	storeClient    *jaystore.Client
	relays         *relayHistory
	admission      *admission
	jobs           *jobTable
	jobsAppender   *jaystore.Appender
	cellTail       *jaystore.Tail
	jobsTail       *jaystore.Tail
	runsTail       *jaystore.Tail
	operatorTail   *jaystore.Tail
	config         atomic.Pointer[jayconfig.Config]
	// requestLogger logs the answers to callers.
	requestLogger zerolog.Logger
	evacuations   evacuations
	tasks         jayassert.Group
	ctx           context.Context
	// leaderResigned is signaled when the leader resigns.
	leaderResigned chan struct{}
	// resignedTerm is the newest term whose leader has resigned.
	resignedTerm atomic.Uint64
	// leadershipFailedAt is when a leadership of this entry failed, zero if none has.
	leadershipFailedAt atomic.Int64

	// mutex guards the fields below. It is locked before a leadership's mutex, never
	// after it.
	mutex      sync.Mutex
	term       Term
	leadership *leadership
	leaderLink *jaylink.Link
	// linkedTerm is the newest term to whose leader this entry has been linked, refusedTerm
	// the newest one whose leader's machine has refused a connection: no process listens.
	linkedTerm  uint64
	refusedTerm uint64
	// entryAddresses and entryCores are keyed by the entry's name.
	entryAddresses map[string]string
	entryCores     map[string]float64
	// peers holds the entries that have opened a link to this one.
	peers map[*jaylink.Link]*follower
	// electors are the entries of which more than half must follow a leader that the store does
	// not serve, as of the newest claim.
	electors []string
	claim    claim
	// agents holds the links of agents by node.
	agents map[string]*jaylink.Link
	// linkNumbers holds the accepted links, numbered in the order of their opening up to
	// lastLink.
	linkNumbers map[*jaylink.Link]uint64
	lastLink    uint64
	draining    bool
	termChanged changeNotifier
	// standby is the newest use of a standby topic.
	standby jaystore.Standby
}

// New returns a controller that accepts links on the listener.
func New(listener net.Listener) *Controller {
	return &Controller{listener: listener, relays: newRelayHistory(), admission: newAdmission(), entryAddresses: map[string]string{}, entryCores: map[string]float64{}, peers: map[*jaylink.Link]*follower{}, agents: map[string]*jaylink.Link{}, linkNumbers: map[*jaylink.Link]uint64{}, leaderResigned: make(chan struct{}, 1)}
}

// Prepare builds the internal components. It is called once, after the exported
// fields are set and before Run.
func (c *Controller) Prepare() {
	if c.Advise == nil {
		c.Advise = noAdvice
	}
	c.storeTransport = &jaystore.Transport{Direct: c.CallStore, Relay: c.relay, HasPeer: c.hasPeer, OnRouteChange: func(through bool, cause string) {
		c.Logger.Warn().Str("event", "dependency").Str("dependency", "store").Bool("through_peer", through).Str("cause", cause).Msg("route to the store changed")
	}}
	c.requestLogger = jayhttp.RequestLogger(c.Logger)
	c.storeClient = c.NewStoreClient(c.storeTransport.Do)
	c.storeClient.Limits = c.StoreLimits
	c.evacuations.requests = jayevacuation.NewRequests(c.Topics.EvacuationPrefix)
	c.jobs = newJobTable(c.Logger)
	c.jobs.onChanged, c.jobs.recent = c.updateInCell, c.Timing.Retention/2
	c.jobsAppender = jaystore.NewAppender(&jaystore.Client{Append: c.appendJobs, Limits: c.StoreLimits}, c.Topics.Jobs)
	c.jobsAppender.SetMinHedgeDelay(c.minAppendDelay)
	c.cellTail = &jaystore.Tail{Client: c.storeClient, Topic: c.Topics.Cell, Apply: c.applyCellRecord, Wait: termPollWait, MaxWait: c.maxTermPollWait, OnError: c.tailFailureLogger(c.Topics.Cell)}
	c.jobsTail = &jaystore.Tail{Client: c.storeClient, Topic: c.Topics.Jobs, Wait: jobsPollWait, BatchDelay: jobsPollDelay, OnError: c.tailFailureLogger(c.Topics.Jobs), Replace: c.jobs.replace, Apply: func(s jaystore.StoredRecord) { c.jobs.apply(s.Key, s.Value) }}
	c.runsTail = &jaystore.Tail{Client: c.storeClient, Topic: c.Topics.Runs, Wait: jobsPollWait, BatchDelay: runsPollDelay, OnError: c.tailFailureLogger(c.Topics.Runs), Apply: func(s jaystore.StoredRecord) {
		if jaycell.IsStateKey(s.Key) {
			c.jobs.apply(s.Key, s.Value)
		}
	}}
	c.operatorTail = &jaystore.Tail{Client: c.storeClient, Topic: c.Topics.Operator, Wait: configPollWait, OnError: c.tailFailureLogger(c.Topics.Operator), Apply: c.applyOperatorRecord, Replace: c.replaceOperatorRecords}
	c.endpoint = &jaylink.Endpoint{
		Name: c.Name, Incarnation: c.Incarnation, Timing: jaylink.Timing{HeartbeatInterval: heartbeatInterval, SilenceTimeout: silenceTimeout}, MaxLinks: maxLinks,
		Handler: c.handleMessage, MakeHeartbeat: func() jayframe.Heartbeat { return jayframe.Heartbeat{} },
		Admit: func(*jayframe.Hello) (*jayframe.HelloReply, error) {
			return &jayframe.HelloReply{Entries: c.knownEntries()}, nil
		},
		Opened: c.linkOpened, Closed: c.linkClosed, Budget: c.LinkBudget,
	}
}

// Run serves links, follows the store's topics and takes part in elections until ctx
// is done. It returns an error when the listener fails.
func (c *Controller) Run(ctx context.Context) error {
	var serveErr error
	var wg jayassert.Group
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.ctx = ctx
	wg.Go(func() {
		if err := c.endpoint.Serve(ctx, c.listener); err != nil {
			serveErr = fmt.Errorf("serve links: %w", err)
			cancel()
		}
	})
	for _, t := range []*jaystore.Tail{c.cellTail, c.jobsTail, c.runsTail, c.operatorTail} {
		wg.Go(func() { t.Run(ctx) })
	}
	wg.Go(func() { c.jobsAppender.Run(ctx) })
	wg.Go(func() { c.runElections(ctx) })
	wg.Go(func() { c.followLeader(ctx) })
	wg.Go(func() { c.announce(ctx) })
	wg.Wait()
	c.tasks.Wait()
	return serveErr
}

// announce stores this entry's address and cores, retrying until it succeeds.
func (c *Controller) announce(ctx context.Context) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, announceTimeout)
		_, err := c.storeClient.Append(call, jaystore.Append{Topic: c.Topics.Cell, Records: []jaystore.Record{{Key: entryPrefix + c.Name, Value: encodeEntry(c.Address, c.Cores)}}})
		cancel()
		if err == nil {
			return
		}
		c.Logger.Warn().Str("event", "announce").Err(err).Msg("cannot store this entry's address; trying again")
		select {
		case <-ctx.Done():
		case <-time.After(announceRetryDelay):
		}
	}
}

// maxUnitRecordBytes returns the size of the largest value of a unit's record, zero if there is no
// limit.
func (c *Controller) maxUnitRecordBytes() int {
	return c.StoreLimits.MaxValueBytes(jaycell.MaxUnitKeyBytes)
}

// tailFailureLogger returns a function that logs a failed read of a topic.
func (c *Controller) tailFailureLogger(topic string) func(error) {
	var lastLogged time.Duration
	return func(err error) {
		// At most one line a second: enough to show when an outage begins and how long
		// it lasts.
		if now := jayclock.Elapsed(); now-lastLogged > time.Second {
			lastLogged = now
			c.Logger.Warn().Str("event", "dependency").Str("dependency", "store").Str("topic", topic).Err(err).Msg("cannot read a topic")
		}
	}
}

func (c *Controller) applyOperatorRecord(s jaystore.StoredRecord) {
	if s.Key != c.Topics.ConfigKey {
		c.applyEvacuation(s.Key, s.Value == nil)
		return
	}
	if s.Value == nil {
		return
	}
	config, errs := c.DecodeConfig(s.Value)
	for _, err := range errs {
		c.Logger.Error().Str("event", "config").Err(err).Msg("skipping an invalid part of the configuration")
	}
	if config == nil {
		return
	}
	old := c.config.Load()
	if old != nil && config.Version() <= old.Version() {
		return
	}
	c.config.Store(config)
	c.Logger.Info().Str("event", "config").Uint64("version", config.Version()).Uint64("offset", s.Offset).Msg("configuration is in force")
	if l := c.currentLeadership(); l != nil {
		Signal(l.wake)
	}
}

// currentLeadership returns this entry's leadership, or nil while it does not lead.
func (c *Controller) currentLeadership() *leadership {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.leadership
}

// maxTermPollWait returns how long a read of the cell's topic may wait for records.
func (c *Controller) maxTermPollWait() time.Duration {
	if c.currentLeadership() != nil {
		return leaderTermPollWait
	}
	return termPollWait
}

// Drain stops taking part in elections. If this entry leads and has peers, it resigns
// and waits until a newer term has begun or the timeout has passed.
func (c *Controller) Drain(timeout time.Duration) {
	c.mutex.Lock()
	c.draining = true
	l := c.leadership
	peers := len(c.peers)
	changed := c.termChanged.changed()
	c.mutex.Unlock()
	c.Logger.Info().Str("event", "drain").Bool("holds_term", l != nil).Int("peers", peers).Msg("shutting down")
	if l == nil || peers == 0 {
		return
	}
	l.resign()
	c.broadcast(&jayframe.CellResign{Term: l.term})
	select {
	case <-changed:
	case <-time.After(timeout):
	}
}

// Ready reports whether this entry can serve callers, and the reason if it cannot.
func (c *Controller) Ready() (bool, string) {
	c.mutex.Lock()
	draining := c.draining
	c.mutex.Unlock()
	age, jobsRead := c.jobsTail.Age()
	_, statesRead := c.runsTail.Age()
	switch {
	case draining:
		return false, "draining"
	case c.config.Load() == nil:
		return false, "no configuration"
	case !jobsRead, !statesRead:
		return false, "jobs not read"
	case age > maxReadyAge:
		return false, "store out of reach"
	}
	return true, ""
}

// maxReadyAge is how long ago the jobs' topic may have been read for this entry to
// receive new connections: longer than a slow response of the store, shorter than an
// outage.
const maxReadyAge = 4 * time.Second

// Config returns the configuration in force, or nil before the first one.
func (c *Controller) Config() *jayconfig.Config { return c.config.Load() }
