package jaysched

import (
	"math"
	"sort"
	"time"
)

const (
	// predictorWindow is how many run times of one kind are kept.
	predictorWindow     = 48
	predictorMinSamples = 3
	// defaultRuntime is assumed for a job without a declared run time, of a kind
	// with too few samples.
	defaultRuntime = time.Minute
	// errorDecay is the weight of the newest error in the moving average.
	errorDecay = 0.1
)

// kindKey identifies a kind of job of one workspace.
type kindKey struct{ workspace, kind string }

// history holds the latest run times of one kind in seconds, their ratios to the
// declared run times and the moving averages of the prediction errors of both.
type history struct {
	runtimes     []float64
	ratios       []float64
	next         int
	runtimeError float64
	ratioError   float64
}

// Predictor predicts run times from earlier ones, since declared run times are
// inaccurate. It keeps, for each workspace and kind, the latest run times and the
// latest ratios of the actual to the declared run time, and predicts with
// whichever of the two has had the smaller error.
type Predictor struct {
	histories map[kindKey]*history
}

// NewPredictor returns a predictor without samples.
func NewPredictor() *Predictor { return &Predictor{histories: map[kindKey]*history{}} }

// Observe records the run time of a job.
func (p *Predictor) Observe(workspace, kind string, declared, actual time.Duration) {
	if actual <= 0 {
		return
	}
	k := kindKey{workspace, kind}
	h := p.histories[k]
	if h == nil {
		h = &history{}
		p.histories[k] = h
	}
	seconds := actual.Seconds()
	if declared <= 0 {
		declared = actual
	}
	ratio := seconds / declared.Seconds()
	if len(h.runtimes) >= predictorMinSamples {
		h.runtimeError += errorDecay * (math.Abs(math.Log(seconds/quantile(h.runtimes, 0.5))) - h.runtimeError)
		h.ratioError += errorDecay * (math.Abs(math.Log(ratio/quantile(h.ratios, 0.5))) - h.ratioError)
	}
	if len(h.runtimes) < predictorWindow {
		h.runtimes = append(h.runtimes, seconds)
		h.ratios = append(h.ratios, ratio)
		return
	}
	h.runtimes[h.next] = seconds
	h.ratios[h.next] = ratio
	h.next = (h.next + 1) % predictorWindow
}

// Predict estimates the q-quantile of a job's run time: the time that the job stays
// under with probability q.
func (p *Predictor) Predict(workspace, kind string, declared time.Duration, q float64) time.Duration {
	h := p.histories[kindKey{workspace, kind}]
	if h == nil || len(h.runtimes) < predictorMinSamples {
		if declared > 0 {
			return declared
		}
		return defaultRuntime
	}
	if declared > 0 && h.ratioError < h.runtimeError {
		return seconds(quantile(h.ratios, q) * declared.Seconds())
	}
	return seconds(quantile(h.runtimes, q))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func quantile(values []float64, q float64) float64 {
	sorted := append([]float64(nil), values...)
	sort.Float64s(sorted)
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
