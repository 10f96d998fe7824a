package jayframe

// CellRun is one run in a CellReport.
type CellRun struct {
	_          struct{} `cbor:",toarray"`
	Task       string
	Run        int
	Checkpoint string
	Percent    int
	Load       int
}

// CellEnd is one end in a CellReport.
type CellEnd struct {
	_          struct{} `cbor:",toarray"`
	Number     uint64
	Task       string
	Run        int
	Reason     uint8
	Checkpoint string
}

// CellResult is one order that left no run behind, in a CellReport.
type CellResult struct {
	_       struct{} `cbor:",toarray"`
	Task    string
	Run     int
	Refused bool
	Reason  string
}

// CellReport is a side's knowledge of its runner. Times are in milliseconds.
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
	Current              bool
	Deregistered         bool
	Running              []CellRun
	Finished             []CellEnd
	Results              []CellResult
	PendingOrders        []CellOrder
}

// Kind implements Message.
func (*CellReport) Kind() Kind { return KindCellReport }

// CellGrant extends the lease of the side that sent the report of the sequence.
type CellLeaseGrant struct {
	_        struct{} `cbor:",toarray"`
	Term     uint64
	Sequence int64
}

// Kind implements Message.
func (*CellLeaseGrant) Kind() Kind { return KindCellLeaseGrant }

// CellOrder is one order to a side.
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
	// Percent is the share of its speed at which a run may work.
	Percent int
}

// CellOrders are orders of a term.
type CellOrders struct {
	_      struct{} `cbor:",toarray"`
	Term   uint64
	Orders []CellOrder
}

// Kind implements Message.
func (*CellOrders) Kind() Kind { return KindCellOrders }

// CellView tells who holds the term, and which entries there are.
type CellView struct {
	_       struct{} `cbor:",toarray"`
	Term    uint64
	Leader  string
	Address string
	Entries []string
}

// Kind implements Message.
func (*CellView) Kind() Kind { return KindCellView }

// CellResign tells that the holder of a term gives it up.
type CellResign struct {
	_    struct{} `cbor:",toarray"`
	Term uint64
}

// Kind implements Message.
func (*CellResign) Kind() Kind { return KindCellResign }

// StoredRecord is a record that the store has taken.
type StoredRecord struct {
	_     struct{} `cbor:",toarray"`
	Key   string
	Value []byte
}

// StoredRecords spreads records of jobs before the store's own readers see them.
type StoredRecords struct {
	_       struct{} `cbor:",toarray"`
	Records []StoredRecord
}

// Kind implements Message.
func (*StoredRecords) Kind() Kind { return KindStoredRecords }

// StoreRelay asks a peer to pass a request on to the store.
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

// StoreReply answers StoreRelay. Failed is set when the store did not answer.
type StoreReply struct {
	_      struct{} `cbor:",toarray"`
	Status int
	Body   []byte
	Error  string
}

// Kind implements Message.
func (*StoreReply) Kind() Kind { return KindStoreReply }
