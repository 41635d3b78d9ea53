package fleet

import (
	"maps"
	"slices"
	"time"
)

// maxSpeedAge is the age above which a speed is not passed on, because it counts no more.
const maxSpeedAge = 600 * time.Millisecond

// EndpointSpeed is the speed that an endpoint reported in an answer, which is not as usual.
type EndpointSpeed struct {
	//lint:ignore U1000 read by the msgpack library
	_msgpack struct{} `msgpack:",as_array"`
	Endpoint EndpointKey
	// Percent is how long work takes on the endpoint's machine, in percent of the usual
	// time.
	Percent uint16
	// AgeMillis is the age of the answer when the message is made.
	AgeMillis uint16
}

// speedReports are the latest speeds by endpoint.
type speedReports map[EndpointKey]EndpointSpeed

// add adds speeds that were reported the given time ago, unless later ones are known.
func (r speedReports) add(speeds []EndpointSpeed, ago time.Duration) {
	for _, speed := range speeds {
		age := time.Duration(speed.AgeMillis)*time.Millisecond + max(ago, 0)
		if age >= maxSpeedAge {
			continue
		}
		speed.AgeMillis = uint16(age.Milliseconds())
		if known, found := r[speed.Endpoint]; !found || speed.AgeMillis < known.AgeMillis {
			r[speed.Endpoint] = speed
		}
	}
}

func (r speedReports) list() []EndpointSpeed {
	var speeds []EndpointSpeed
	for _, endpoint := range slices.Sorted(maps.Keys(r)) {
		speeds = append(speeds, r[endpoint])
	}
	return speeds
}
