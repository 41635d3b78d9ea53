package fleet

import "lovagescale/internal/namedlimit"

// endpointRun identifies a run of an endpoint.
type endpointRun struct {
	endpoint    string
	startMillis int64
}

// limitNewsSum combines what several instances know of the limits of endpoints.
type limitNewsSum map[endpointRun]namedlimit.News

// add adds the news of an instance.
func (s limitNewsSum) add(news []EndpointLimitNews) {
	for _, n := range news {
		run := endpointRun{n.Endpoint, n.StartMillis}
		known := s[run]
		if n.Named > known.Named {
			known.Named, known.PerSecond = n.Named, n.PerSecond
		}
		known.Ended = max(known.Ended, n.Ended)
		s[run] = known
	}
}

func (s limitNewsSum) list() []EndpointLimitNews {
	var list []EndpointLimitNews
	for run, news := range s {
		list = append(list, EndpointLimitNews{Endpoint: run.endpoint, StartMillis: run.startMillis,
			PerSecond: news.PerSecond, Named: news.Named, Ended: news.Ended})
	}
	return list
}

// AddLimit adds what an instance knows of the limit of a run of an endpoint.
func (a *Activity) AddLimit(endpoint string, startMillis int64, news namedlimit.News) {
	a.LimitNews = append(a.LimitNews, EndpointLimitNews{Endpoint: endpoint, StartMillis: startMillis,
		PerSecond: news.PerSecond, Named: news.Named, Ended: news.Ended})
	if news.Stands() {
		a.Limits = append(a.Limits, EndpointLimit{Endpoint: endpoint, StartMillis: startMillis, PerSecond: news.PerSecond})
	}
}

// News returns the news without the run that it is of.
func (n *EndpointLimitNews) News() namedlimit.News {
	return namedlimit.News{PerSecond: n.PerSecond, Named: n.Named, Ended: n.Ended}
}
