package jayentry

const (
	// retryRatio is the number of retries earned by each new job.
	retryRatio = 0.1
	// maxRetryTokens bounds the retries that can accumulate.
	maxRetryTokens = 50.0
)

// retryBudget limits retries to a fraction of new jobs, so that a fault does not
// cause a retry storm.
type retryBudget struct{ tokens float64 }

func newRetryBudget() *retryBudget { return &retryBudget{tokens: maxRetryTokens} }

// earn adds the share of a new job.
func (b *retryBudget) earn() { b.tokens = min(b.tokens+retryRatio, maxRetryTokens) }

// spend consumes one retry and reports whether one was available.
func (b *retryBudget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
