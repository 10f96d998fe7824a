package jayentry

const (
	// retryShare is how many retries each fresh job pays for.
	retryShare = 0.1
	// retrySaved bounds the retries that can be saved up.
	retrySaved = 50.0
)

// retryBudget bounds retries to a share of fresh jobs, so that a fault is not
// answered with a flood.
type retryBudget struct{ tokens float64 }

func newRetryBudget() *retryBudget { return &retryBudget{tokens: retrySaved} }

// earn counts a fresh job.
func (b *retryBudget) earn() { b.tokens = min(b.tokens+retryShare, retrySaved) }

// spend takes one retry and reports whether there was one left.
func (b *retryBudget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
