package command

// Check is "lovagectl check".
type Check struct {
	File string `arg:"" help:"Configuration text to check."`
}

// Run reads the text and reports all of its problems at once.
func (c *Check) Run(e *Environment) error {
	text, err := readText(c.File)
	if err != nil {
		return err
	}
	summary := checkSummary{
		Regions:    len(text.Region),
		Zones:      len(text.Zone),
		Services:   len(text.Service),
		Workspaces: len(text.Workspace),
	}
	return e.print(summary, "%s is valid: %d regions, %d availability zones, %d services, %d workspaces",
		c.File, summary.Regions, summary.Zones, summary.Services, summary.Workspaces)
}

type checkSummary struct {
	Regions    int `json:"regions"`
	Zones      int `json:"availability_zones"`
	Services   int `json:"services"`
	Workspaces int `json:"workspaces"`
}
