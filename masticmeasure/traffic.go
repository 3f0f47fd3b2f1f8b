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
	// handbookTokens is the length of a workspace's handbook or price book.
	handbookTokens = 24_000
	// members is the number of members or merchants of a workspace.
	members = 400
	// minHistoryTokens and maxHistoryTokens bound the history of a member.
	minHistoryTokens  = 8_000
	maxHistoryTokens  = 32_000
	minQuestionTokens = 100
	maxQuestionTokens = 500
	longOutputTokens  = 200
	quickOutputTokens = 30
	// zipfExponent is that of the members' popularity.
	zipfExponent = 1.0
	// shiftMembers is how far popularity moves along the members in a shift.
	shiftMembers    = 137
	longFirstToken  = 10 * time.Second
	quickFirstToken = time.Second
	longDeadline    = 60 * time.Second
	quickDeadline   = 30 * time.Second
	// bytesPerToken is the length of a token in the generated texts.
	bytesPerToken = 4
)

// arrival is one request of the traffic. It is shared by all policies.
type arrival struct {
	at        time.Duration
	number    int
	workspace int
	class     masticview.Class
	prompt    masticprompt.Prompt
	pieces    []masticprompt.Piece
	// draw chooses the entry host.
	draw float64
}

// request returns the arrival as the dispatcher is asked for it at time epoch.
func (a *arrival) request(arrived time.Time) masticcall.Request {
	first, whole, output := longFirstToken, longDeadline, int64(longOutputTokens)
	if a.class == masticview.ClassQuick {
		first, whole, output = quickFirstToken, quickDeadline, quickOutputTokens
	}
	return masticcall.Request{
		ID: fmt.Sprint(a.number), Workspace: workspaceName(a.workspace), Weight: 1, Model: modelName,
		Class: a.class, PromptTokens: a.prompt.Tokens(), OutputTokens: output,
		FirstTokenBy: arrived.Add(first), Deadline: arrived.Add(whole),
	}
}

// library makes the nested prompts of all workspaces.
type library struct {
	handbooks map[int]masticprompt.Prompt
	histories map[[2]int]masticprompt.Prompt
	popular   []float64
}

func newLibrary() *library {
	l := &library{handbooks: map[int]masticprompt.Prompt{}, histories: map[[2]int]masticprompt.Prompt{}}
	sum := 0.0
	for i := range members {
		sum += 1 / math.Pow(float64(i+1), zipfExponent)
		l.popular = append(l.popular, sum)
	}
	return l
}

func text(name string, tokens int) string {
	unit := fmt.Sprintf("%-16s", name)
	return strings.Repeat(unit, tokens*bytesPerToken/len(unit)+1)[:tokens*bytesPerToken]
}

func (l *library) handbook(workspace int) masticprompt.Prompt {
	p, ok := l.handbooks[workspace]
	if !ok {
		p = p.WithLevel(masticcall.Level{Role: "system", Text: text(fmt.Sprint("handbook", workspace), handbookTokens)})
		l.handbooks[workspace] = p
	}
	return p
}

func (l *library) history(workspace, member int) masticprompt.Prompt {
	k := [2]int{workspace, member}
	p, ok := l.histories[k]
	if !ok {
		r := rand.New(rand.NewPCG(uint64(workspace), uint64(member)))
		tokens := minHistoryTokens + r.IntN(maxHistoryTokens-minHistoryTokens)
		p = l.handbook(workspace).WithLevel(masticcall.Level{Role: "user", Text: text(fmt.Sprint("member", member), tokens)})
		l.histories[k] = p
	}
	return p
}

// member draws a member by popularity.
func (l *library) member(r *rand.Rand, shift int) int {
	u := r.Float64() * l.popular[members-1]
	rank, _ := slices.BinarySearch(l.popular, u)
	return (min(rank, members-1) + shift) % members
}

// traffic draws the arrivals of a scenario, in order of time.
func traffic(seed uint64, d deployment, s scenario, l *library) []*arrival {
	var out []*arrival
	for w, share := range d.shares {
		for n, c := range []masticview.Class{masticview.ClassLong, masticview.ClassQuick} {
			r := rand.New(rand.NewPCG(seed, uint64(w*2+n)))
			rate := share * []float64{d.longRate, d.quickRate}[n]
			out = append(out, stream(r, rate, w, c, s, l)...)
		}
	}
	slices.SortStableFunc(out, func(a, b *arrival) int { return cmp.Compare(a.at, b.at) })
	for i, a := range out {
		a.number = i
	}
	return out
}

// stream draws the Poisson arrivals of one workspace and class.
func stream(r *rand.Rand, rate float64, workspace int, c masticview.Class, s scenario, l *library) []*arrival {
	var out []*arrival
	for at := time.Duration(0); ; {
		now := rate
		if s.loud == workspace && at >= measuredFrom {
			now *= loudFactor
		}
		at += time.Duration(r.ExpFloat64() / now * float64(time.Second))
		if at >= s.until {
			return out
		}
		shift := 0
		if s.shift && at >= faultAt {
			shift = shiftMembers
		}
		out = append(out, l.arrival(r, at, workspace, c, shift))
	}
}

func (l *library) arrival(r *rand.Rand, at time.Duration, workspace int, c masticview.Class, shift int) *arrival {
	p := l.handbook(workspace)
	if c == masticview.ClassLong {
		p = l.history(workspace, l.member(r, shift))
	}
	question := minQuestionTokens + r.IntN(maxQuestionTokens-minQuestionTokens)
	p = p.WithLevel(masticcall.Level{Role: "user", Text: text(fmt.Sprint("question", r.Uint64()), question)})
	seed := masticprompt.Seed{Workspace: workspaceName(workspace), Model: modelName, WeightsVersion: weightsVersion}
	return &arrival{at: at, workspace: workspace, class: c, prompt: p, pieces: p.Pieces(seed), draw: r.Float64()}
}
