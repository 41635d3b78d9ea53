package command

import "context"

// Collect is "lovagectl collect".
type Collect struct {
	Limit int `default:"1000" help:"Most chunks to remove."`
}

// Run removes chunks from the store that the configuration does not name.
func (c *Collect) Run(e *Environment) error {
	collected, err := e.publisher().CollectGarbage(context.Background(), c.Limit)
	if err != nil {
		return err
	}
	return e.print(collected, "removed %d chunks, kept %d that are not in use", collected.Removed, collected.Kept)
}
