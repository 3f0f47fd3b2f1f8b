package masticmeasure

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"masticladder/masticcall"
	"masticladder/masticprompt"
	"masticladder/masticview"
)

const (
	// handbookTokens is the length of a workspace's shared document (handbook or price book).
	handbookTokens = 24_000
	// membersPerWorkspace is the number of members or merchants of a workspace.
	membersPerWorkspace = 400
	// minHistoryTokens and maxHistoryTokens bound the history of a member.
	minHistoryTokens  = 8_000
	maxHistoryTokens  = 32_000
	minQuestionTokens = 100
	maxQuestionTokens = 500
	longOutputTokens  = 200
	quickOutputTokens = 30
	// zipfExponent is the exponent of the Zipf distribution of the members' popularity.
	zipfExponent = 1.0
	// shiftDistance is the number of members by which a popularity shift rotates the ranking.
	shiftDistance          = 137
	longFirstTokenTimeout  = 10 * time.Second
	quickFirstTokenTimeout = time.Second
	longTimeout            = 60 * time.Second
	quickTimeout           = 30 * time.Second
	// bytesPerToken is the token length that sizes the generated texts.
	bytesPerToken = 4
)

// arrival is one request of the traffic. All policies run the same arrivals.
type arrival struct {
	// at counts from the start of the run.
	at        time.Duration
	number    int
	workspace int
	class     masticview.Class
	prompt    masticprompt.Prompt
	pieces    []masticprompt.Piece
	// draw is a random number in [0, 1) that selects the entry host.
	draw float64
}

// request returns the arrival as a request that arrives at the given time.
func (a *arrival) request(arrived time.Time) masticcall.Request {
	firstTokenTimeout, timeout, outputTokens := longFirstTokenTimeout, longTimeout, int64(longOutputTokens)
	if a.class == masticview.ClassQuick {
		firstTokenTimeout, timeout, outputTokens = quickFirstTokenTimeout, quickTimeout, quickOutputTokens
	}
	return masticcall.Request{
		ID: fmt.Sprint(a.number), Workspace: workspaceName(a.workspace), Weight: 1, Model: modelName,
		Class: a.class, PromptTokens: a.prompt.Tokens(), OutputTokens: outputTokens,
		FirstTokenDeadline: arrived.Add(firstTokenTimeout), Deadline: arrived.Add(timeout),
	}
}

// promptLibrary creates and caches the prompts of all workspaces: a handbook, followed for
// long requests by a member's history.
type promptLibrary struct {
	handbooks            map[int]masticprompt.Prompt
	histories            map[[2]int]masticprompt.Prompt
	cumulativePopularity []float64
}

func newPromptLibrary() *promptLibrary {
	l := &promptLibrary{handbooks: map[int]masticprompt.Prompt{}, histories: map[[2]int]masticprompt.Prompt{}}
	sum := 0.0
	for i := range membersPerWorkspace {
		sum += 1 / math.Pow(float64(i+1), zipfExponent)
		l.cumulativePopularity = append(l.cumulativePopularity, sum)
	}
	return l
}

func repeatedText(name string, tokens int) string {
	unit := fmt.Sprintf("%-16s", name)
	return strings.Repeat(unit, tokens*bytesPerToken/len(unit)+1)[:tokens*bytesPerToken]
}

func (l *promptLibrary) handbook(workspace int) masticprompt.Prompt {
	p, ok := l.handbooks[workspace]
	if !ok {
		p = p.WithLevel(masticcall.Level{Role: "system", Text: repeatedText(fmt.Sprint("handbook", workspace), handbookTokens)})
		l.handbooks[workspace] = p
	}
	return p
}

func (l *promptLibrary) history(workspace, member int) masticprompt.Prompt {
	k := [2]int{workspace, member}
	p, ok := l.histories[k]
	if !ok {
		r := rand.New(rand.NewPCG(uint64(workspace), uint64(member)))
		tokens := minHistoryTokens + r.IntN(maxHistoryTokens-minHistoryTokens)
		p = l.handbook(workspace).WithLevel(masticcall.Level{Role: "user", Text: repeatedText(fmt.Sprint("member", member), tokens)})
		l.histories[k] = p
	}
	return p
}

// drawMember draws a member by popularity, with the ranking rotated by shift members.
func (l *promptLibrary) drawMember(r *rand.Rand, shift int) int {
	u := r.Float64() * l.cumulativePopularity[membersPerWorkspace-1]
	rank, _ := slices.BinarySearch(l.cumulativePopularity, u)
	return (min(rank, membersPerWorkspace-1) + shift) % membersPerWorkspace
}

// drawTraffic draws the arrivals of a scenario, in order of time.
func drawTraffic(seed uint64, d deployment, s scenario, l *promptLibrary) []*arrival {
	var out []*arrival
	for w, share := range d.shares {
		for n, c := range []masticview.Class{masticview.ClassLong, masticview.ClassQuick} {
			r := rand.New(rand.NewPCG(seed, uint64(w*2+n)))
			rate := share * []float64{d.longRate, d.quickRate}[n]
			out = append(out, poissonArrivals(r, rate, w, c, s, l)...)
		}
	}
	slices.SortStableFunc(out, func(a, b *arrival) int { return cmp.Compare(a.at, b.at) })
	for i, a := range out {
		a.number = i
	}
	return out
}

// poissonArrivals draws the arrivals of one workspace and class, at rate requests per second.
func poissonArrivals(r *rand.Rand, rate float64, workspace int, c masticview.Class, s scenario, l *promptLibrary) []*arrival {
	var out []*arrival
	for at := time.Duration(0); ; {
		currentRate := rate
		if s.overRateWorkspace == workspace && at >= measuredFrom {
			currentRate *= overRateFactor
		}
		at += time.Duration(r.ExpFloat64() / currentRate * float64(time.Second))
		if at >= s.trafficEnd {
			return out
		}
		shift := 0
		if s.popularityShift && at >= faultAt {
			shift = shiftDistance
		}
		out = append(out, l.newArrival(r, at, workspace, c, shift))
	}
}

func (l *promptLibrary) newArrival(r *rand.Rand, at time.Duration, workspace int, c masticview.Class, shift int) *arrival {
	p := l.handbook(workspace)
	if c == masticview.ClassLong {
		p = l.history(workspace, l.drawMember(r, shift))
	}
	question := minQuestionTokens + r.IntN(maxQuestionTokens-minQuestionTokens)
	p = p.WithLevel(masticcall.Level{Role: "user", Text: repeatedText(fmt.Sprint("question", r.Uint64()), question)})
	seed := masticprompt.Seed{Workspace: workspaceName(workspace), Model: modelName, WeightsVersion: weightsVersion}
	return &arrival{at: at, workspace: workspace, class: c, prompt: p, pieces: p.Pieces(seed), draw: r.Float64()}
}
