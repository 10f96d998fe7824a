package jayframe

// CellRun is the wire form of a jaycell.Run, a running task in a CellReport. Percent is
// its progress; Load is the CPU in use, or the tail latency of a serving task in
// milliseconds.
type CellRun struct {
	_          struct{} `cbor:",toarray"`
	Task       string
	Run        int
	Checkpoint string
	Percent    int
	Load       int
}

// CellEnd is the wire form of a jaycell.End.
type CellEnd struct {
	_          struct{} `cbor:",toarray"`
	Number     uint64
	Task       string
	Run        int
	Reason     uint8
	Checkpoint string
}

// CellOrderResult is the wire form of a jaycell.OrderResult.
type CellOrderResult struct {
	_       struct{} `cbor:",toarray"`
	Task    string
	Run     int
	Refused bool
	Reason  string
}

// CellCrash is the wire form of a jaycell.Crash.
type CellCrash struct {
	_      struct{} `cbor:",toarray"`
	Runner string
	Runs   []CellCrashedRun
}

// CellCrashedRun is the wire form of a jaycell.CrashedRun.
type CellCrashedRun struct {
	_               struct{} `cbor:",toarray"`
	Task            string
	Run             int
	Percent         int
	WorkedForMillis int64
	ListedForMillis int64
}

// CellReport is the wire form of a jaycell.Report, the state of an agent's runner. CPU
// is in thousandths of a core and Memory in megabytes. PendingOrders are those that the
// agent is executing.
type CellReport struct {
	_                    struct{} `cbor:",toarray"`
	Node                 string
	Sequence             int64
	Term                 uint64
	Runner               string
	Service              string
	DataCentre           string
	Labels               []string
	CPU                  int
	Memory               int
	Accelerators         int
	Draining             bool
	DrainRemainingMillis int64
	ColdLeftMillis       int64
	Responsive           bool
	Ended                bool
	Running              []CellRun
	Finished             []CellEnd
	OrderResults         []CellOrderResult
	PendingOrders        []CellOrder
	Crashes              []CellCrash
}

// Kind implements Message.
func (*CellReport) Kind() Kind { return KindCellReport }

// CellLeaseGrant answers a CellReport. It extends the lease, counted from when the
// report with this sequence number was sent; Sequence zero does not extend it. If
// EvacuationKnown is set, it tells whether the runner's data centre is evacuated, by a view that
// was complete ViewAgeMillis ago.
type CellLeaseGrant struct {
	_               struct{} `cbor:",toarray"`
	Term            uint64
	Sequence        int64
	EvacuationKnown bool
	Evacuated       bool
	ViewAgeMillis   int64
}

// Kind implements Message.
func (*CellLeaseGrant) Kind() Kind { return KindCellLeaseGrant }

// CellOrder is the wire form of a jaycell.Order.
type CellOrder struct {
	_          struct{} `cbor:",toarray"`
	Kind       uint8
	Runner     string
	Task       string
	Run        int
	Spec       string
	Checkpoint string
	Ticket     string
	Number     uint64
	Percent    int
	Repeated   bool
	// CPU, Memory and Accelerators are the capacity for which a start was decided.
	CPU          int
	Memory       int
	Accelerators int
}

// CellOrders sends the orders of a term's leader to an agent.
type CellOrders struct {
	_      struct{} `cbor:",toarray"`
	Term   uint64
	Orders []CellOrder
}

// Kind implements Message.
func (*CellOrders) Kind() Kind { return KindCellOrders }

// CellView announces the leader of the term and the addresses of the entries.
type CellView struct {
	_       struct{} `cbor:",toarray"`
	Term    uint64
	Leader  string
	Address string
	Entries []string
}

// Kind implements Message.
func (*CellView) Kind() Kind { return KindCellView }

// CellAsk asks an entry whom it follows. AskedNanos is the time on the sender's own clock.
type CellAsk struct {
	_          struct{} `cbor:",toarray"`
	AskedNanos int64
}

// Kind implements Message.
func (*CellAsk) Kind() Kind { return KindCellAsk }

// CellFollow answers CellAsk with the term that the entry follows, and returns AskedNanos.
type CellFollow struct {
	_          struct{} `cbor:",toarray"`
	Term       uint64
	AskedNanos int64
}

// Kind implements Message.
func (*CellFollow) Kind() Kind { return KindCellFollow }

// CellResign announces that the leader of a term resigns.
type CellResign struct {
	_    struct{} `cbor:",toarray"`
	Term uint64
}

// Kind implements Message.
func (*CellResign) Kind() Kind { return KindCellResign }

// StoredRecord is a record that the store has accepted.
type StoredRecord struct {
	_     struct{} `cbor:",toarray"`
	Key   string
	Value []byte
}

// StoredRecords sends new records of jobs to other entries, which get them sooner than
// by reading the store.
type StoredRecords struct {
	_       struct{} `cbor:",toarray"`
	Records []StoredRecord
}

// Kind implements Message.
func (*StoredRecords) Kind() Kind { return KindStoredRecords }

// StoreRelay asks a peer to forward a request to the store. Hops counts the peers it
// has passed.
type StoreRelay struct {
	_          struct{} `cbor:",toarray"`
	Method     string
	Target     string
	Body       []byte
	WaitMillis int64
	Hops       int
}

// Kind implements Message.
func (*StoreRelay) Kind() Kind { return KindStoreRelay }

// StoreReply answers StoreRelay. Error is set when the store did not answer.
type StoreReply struct {
	_      struct{} `cbor:",toarray"`
	Status int
	Body   []byte
	Error  string
}

// Kind implements Message.
func (*StoreReply) Kind() Kind { return KindStoreReply }

// PutRecords asks the leader to store records of jobs with its own, within WaitMillis.
type PutRecords struct {
	_          struct{} `cbor:",toarray"`
	Records    []StoredRecord
	WaitMillis int64
}

// Kind implements Message.
func (*PutRecords) Kind() Kind { return KindPutRecords }

// PutReply answers PutRecords. Unless all records are stored, the sender stores them itself;
// those of Unknown outcome may be stored later.
type PutReply struct {
	_       struct{} `cbor:",toarray"`
	Stored  bool
	Unknown bool
}

// Kind implements Message.
func (*PutReply) Kind() Kind { return KindPutReply }

// CellRunTimes is the wire form of a jayadmission.RunTimes.
type CellRunTimes struct {
	_              struct{} `cbor:",toarray"`
	ShortestMillis int64
	LongestMillis  int64
}

// CellResources is the wire form of a jaytask.Resources.
type CellResources struct {
	_            struct{} `cbor:",toarray"`
	CPU          int
	Memory       int
	Accelerators int
}

// CellRouteAccount is the wire form of a jayadmission.RouteAccount.
type CellRouteAccount struct {
	_          struct{} `cbor:",toarray"`
	Route      string
	Service    string
	Priority   int
	Smallest   CellResources
	Largest    CellResources
	RunTimes   []CellRunTimes
	WaitMillis int64
	Slots      int
}

// CellAccount sends the account of the backlog from the leader of a term to entries.
// Sequence increases with each account of a term.
type CellAccount struct {
	_        struct{} `cbor:",toarray"`
	Term     uint64
	Sequence uint64
	Routes   []CellRouteAccount
}

// Kind implements Message.
func (*CellAccount) Kind() Kind { return KindCellAccount }
