package command

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"

	"lovagescale/internal/spread"
	"lovagescale/internal/workspacekey"
)

// Key is "lovagectl key".
type Key struct {
	Grant    KeyGrant    `cmd:"" help:"Create a key for a workspace and show it once."`
	Withdraw KeyWithdraw `cmd:"" help:"Withdraw a key permanently."`
	List     KeyList     `cmd:"" help:"List the keys of a workspace."`
}

// KeyGrant is "lovagectl key grant".
type KeyGrant struct {
	Workspace string `arg:"" help:"Workspace that gets the key."`
}

type grantResult struct {
	Key        string `json:"key"`
	Identifier string `json:"identifier"`
	Revision   uint64 `json:"revision"`
}

// Run generates a key and publishes its digest. The key itself is only printed.
func (k *KeyGrant) Run(e *Environment) error {
	key, record, err := workspacekey.Generate(rand.Reader, k.Workspace)
	if err != nil {
		return err
	}
	token, err := workspacekey.NewWithdrawalToken(rand.Reader)
	if err != nil {
		return err
	}
	ctx := context.Background()
	p := e.publisher()
	if err := e.requireStoreNotBehind(ctx, p); err != nil {
		return err
	}
	revision, err := p.GrantKey(ctx, record, token)
	if err != nil {
		return err
	}
	return e.print(grantResult{Key: key, Identifier: record.Identifier, Revision: revision}, "%s", key)
}

// KeyWithdraw is "lovagectl key withdraw".
type KeyWithdraw struct {
	Identifier string `arg:"" help:"Identifier of the key (the part before the underscore)."`
}

type withdrawResult struct {
	Identifier string `json:"identifier"`
	Workspace  string `json:"workspace"`
	Revision   uint64 `json:"revision"`
	// Confirmed counts the entry instances that confirmed the withdrawal to lovagectl.
	Confirmed int `json:"told"`
	Listed    int `json:"listed"`
}

// NotRecordedError reports a withdrawal that reached entry instances but is not recorded
// in the store.
type NotRecordedError struct {
	Identifier string
	Confirmed  int
	Cause      error
}

// Error implements the error interface.
func (e *NotRecordedError) Error() string {
	return fmt.Sprintf("withdrawal of key %q reached %d entries but is not recorded in the store, run it again: %v",
		e.Identifier, e.Confirmed, e.Cause)
}

// Unwrap returns the cause.
func (e *NotRecordedError) Unwrap() error { return e.Cause }

// Run sends the withdrawal to the entry instances that can be reached, then publishes a
// tombstone.
func (k *KeyWithdraw) Run(e *Environment) error {
	ctx := context.Background()
	p := e.publisher()
	token, err := p.FindWithdrawalToken(ctx, k.Identifier)
	if err != nil {
		return err
	}
	out := withdrawResult{Identifier: k.Identifier, Workspace: token.Workspace}
	if len(token.Token) > 0 {
		out.Confirmed, out.Listed = e.pushWithdrawal(ctx, spread.Withdrawal{Identifier: k.Identifier, Token: token.Token})
	}
	out.Revision, err = p.WithdrawKey(ctx, token.Workspace, k.Identifier)
	if err != nil && out.Confirmed > 0 {
		return &NotRecordedError{Identifier: k.Identifier, Confirmed: out.Confirmed, Cause: err}
	}
	if err != nil {
		return err
	}
	return e.print(out, "key %s of workspace %q is withdrawn as of revision %d; %d of %d entries were told directly",
		k.Identifier, out.Workspace, out.Revision, out.Confirmed, out.Listed)
}

// pushWithdrawal sends a withdrawal to all listed instances. It returns the number of those
// that confirmed it and of all listed ones.
func (e *Environment) pushWithdrawal(ctx context.Context, withdrawal spread.Withdrawal) (confirmed, listed int) {
	instances, err := e.instanceList().Instances(ctx)
	if err != nil {
		return 0, 0
	}
	for _, result := range queryInstances[spread.WithdrawReply](ctx, instances, spread.TypeWithdraw, withdrawal) {
		if result.Err == nil && result.Reply.Withdrawn {
			confirmed++
		}
	}
	return confirmed, len(instances)
}

// KeyList is "lovagectl key list".
type KeyList struct {
	Workspace string `arg:"" help:"Workspace whose keys to list."`
}

// Run prints the identifiers and states of the keys, never the keys.
func (k *KeyList) Run(e *Environment) error {
	ctx := context.Background()
	p := e.publisher()
	base, err := p.Current(ctx)
	if err != nil {
		return err
	}
	records, err := p.Keys(ctx, base, k.Workspace)
	if err != nil {
		return err
	}
	if e.JSON {
		return json.NewEncoder(e.Out).Encode(records)
	}
	for _, record := range records {
		state := "valid"
		if record.Withdrawn {
			state = "withdrawn"
		}
		if _, err := fmt.Fprintf(e.Out, "%s %s\n", record.Identifier, state); err != nil {
			return err
		}
	}
	return nil
}
