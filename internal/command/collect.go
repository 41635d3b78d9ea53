package command

import "context"

// Collect is "lovagectl collect".
type Collect struct {
	Limit int `default:"1000" help:"Maximum number of chunks to remove."`
}

// Run removes the chunks that the configuration does not reference from the store.
func (c *Collect) Run(e *Environment) error {
	collected, err := e.publisher().CollectGarbage(context.Background(), c.Limit)
	if err != nil {
		return err
	}
	return e.print(collected, "removed %d chunks, kept %d that are not in use", collected.Removed, collected.Kept)
}
