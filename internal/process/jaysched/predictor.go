package jaysched

import (
	"math"
	"sort"
	"time"
)

const (
	predictorWindow     = 48
	predictorMinSamples = 3
	// defaultRuntime is assumed of a job that declares nothing and of whose kind
	// nothing is known.
	defaultRuntime = time.Minute
	// errorDecay weighs the newest error of a predictor against those before it.
	errorDecay = 0.1
)

type kindKey struct{ workspace, kind string }

// history holds the latest run times of one kind of job of one workspace.
type history struct {
	runtimes     []float64
	ratios       []float64
	next         int
	runtimeError float64
	ratioError   float64
}

// Learner predicts run times from those seen before, since declared run times
// are far off. It keeps, for each workspace and kind, the latest run times and
// the latest ratios of the real to the declared run time, and predicts with
// whichever of the two has been nearer to the truth.
type Predictor struct {
	histories map[kindKey]*history
}

// NewLearner returns a learner that has seen nothing.
func NewPredictor() *Predictor { return &Predictor{histories: map[kindKey]*history{}} }

// Observe records how long a job ran for.
func (l *Predictor) Observe(workspace, kind string, declared, actual time.Duration) {
	if actual <= 0 {
		return
	}
	k := kindKey{workspace, kind}
	h := l.histories[k]
	if h == nil {
		h = &history{}
		l.histories[k] = h
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

// Predict returns the run time that a job stays under with probability q.
func (l *Predictor) Predict(workspace, kind string, declared time.Duration, q float64) time.Duration {
	h := l.histories[kindKey{workspace, kind}]
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
