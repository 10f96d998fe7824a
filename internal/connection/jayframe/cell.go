package jayframe

// CellRun is one run in a CellReport.
type CellRun struct {
	_       struct{} `cbor:",toarray"`
	Task    string
	Run     int
	Saved   string
	Percent int
	Load    int
}

// CellEnd is one end in a CellReport.
type CellEnd struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Task   string
	Run    int
	How    uint8
	Saved  string
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
	_            struct{} `cbor:",toarray"`
	Node         string
	Sequence     int64
	Term         uint64
	Runner       string
	Service      string
	DataCentre   string
	Labels       []string
	CPU          int
	Memory       int
	Accelerators int
	Draining     bool
	DrainLeft    int64
	Current      bool
	Left         bool
	Running      []CellRun
	Finished     []CellEnd
	Results      []CellResult
	Known        []CellOrder
}

// Kind implements Message.
func (*CellReport) Kind() Kind { return KindCellReport }

// CellGrant extends the lease of the side that sent the report of the sequence.
type CellGrant struct {
	_        struct{} `cbor:",toarray"`
	Term     uint64
	Sequence int64
}

// Kind implements Message.
func (*CellGrant) Kind() Kind { return KindCellGrant }

// CellOrder is one order to a side.
type CellOrder struct {
	_      struct{} `cbor:",toarray"`
	What   uint8
	Runner string
	Task   string
	Run    int
	Spec   string
	Saved  string
	Ticket string
	Number uint64
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
	Holder  string
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
	Failed string
}

// Kind implements Message.
func (*StoreReply) Kind() Kind { return KindStoreReply }
