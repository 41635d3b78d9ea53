package fleet

import (
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// AnswersKey identifies the endpoints of an upstream in one region in messages. It is a hash
// of both names and shorter than they are. If two keys collide, the mean response times of
// both groups of endpoints are mixed.
type AnswersKey uint32

// AnswersKeyOf returns the key of the upstream's endpoints in the region.
func AnswersKeyOf(upstream, region string) AnswersKey {
	return AnswersKey(xxhash.Sum64String(upstream + "\x00" + region))
}

// RemoteAnswers describes the answers that the endpoints of an upstream in one region gave to
// instances of other regions. Integers take 3 bytes where floating-point numbers take 5.
type RemoteAnswers struct {
	//lint:ignore U1000 read by the msgpack library
	_msgpack struct{} `msgpack:",as_array"`
	Key      AnswersKey
	// CentiRate is the rate in answers per 100 seconds, BusyMillis the total time that the
	// answers took, in milliseconds per second.
	CentiRate, BusyMillis int
}

// NewRemoteAnswers returns the answers in the form of messages.
func NewRemoteAnswers(key AnswersKey, rates AnswerRates) RemoteAnswers {
	return RemoteAnswers{Key: key, CentiRate: int(math.Round(100 * rates.Rate)), BusyMillis: int(math.Round(1000 * rates.Busy))}
}

func (a RemoteAnswers) rates() AnswerRates {
	return AnswerRates{Rate: float64(a.CentiRate) / 100, Busy: float64(a.BusyMillis) / 1000}
}

// AnswerRates are answers per second and the total time that they took, in seconds per
// second.
type AnswerRates struct{ Rate, Busy float64 }

// callerAnswers are the answers to callers of all regions, by the endpoints that gave them.
type callerAnswers map[AnswersKey]AnswerRates

// add adds the answers that instances of the region got, multiplied by sign.
func (c callerAnswers) add(region string, activity Activity, sign int) {
	count := func(key AnswersKey, rates AnswerRates) {
		sum := c[key]
		sum.Rate += float64(sign) * rates.Rate
		sum.Busy += float64(sign) * rates.Busy
		c[key] = sum
	}
	for _, answers := range activity.UpstreamAnswers {
		count(AnswersKeyOf(answers.Upstream, region), AnswerRates{Rate: float64(answers.Rate), Busy: float64(answers.Busy)})
	}
	for _, answers := range activity.RemoteAnswers {
		count(answers.Key, answers.rates())
	}
}

// remoteAnswersSum adds up the answers of other regions' endpoints.
type remoteAnswersSum map[AnswersKey]RemoteAnswers

func (s remoteAnswersSum) add(answers []RemoteAnswers) {
	for _, a := range answers {
		sum := s[a.Key]
		s[a.Key] = RemoteAnswers{Key: a.Key, CentiRate: sum.CentiRate + a.CentiRate, BusyMillis: sum.BusyMillis + a.BusyMillis}
	}
}

// answers returns the sums ordered by key.
func (s remoteAnswersSum) answers() []RemoteAnswers {
	var sums []RemoteAnswers
	for _, key := range slices.Sorted(maps.Keys(s)) {
		sums = append(sums, s[key])
	}
	return sums
}
