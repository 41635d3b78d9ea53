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
	Grant    KeyGrant    `cmd:"" help:"Make a key for a workspace and show it once."`
	Withdraw KeyWithdraw `cmd:"" help:"Withdraw a key for good."`
	List     KeyList     `cmd:"" help:"List the keys of a workspace."`
}

// KeyGrant is "lovagectl key grant".
type KeyGrant struct {
	Workspace string `arg:"" help:"Workspace that gets the key."`
}

type granted struct {
	Key        string `json:"key"`
	Identifier string `json:"identifier"`
	Revision   uint64 `json:"revision"`
}

// Run makes a key and publishes its digest.
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
	if err := e.requireStoreAhead(ctx, p); err != nil {
		return err
	}
	revision, err := p.GrantKey(ctx, record, token)
	if err != nil {
		return err
	}
	return e.print(granted{Key: key, Identifier: record.Identifier, Revision: revision}, "%s", key)
}

// KeyWithdraw is "lovagectl key withdraw".
type KeyWithdraw struct {
	Identifier string `arg:"" help:"Identifier of the key, its part before the underscore."`
}

type withdrawn struct {
	Identifier string `json:"identifier"`
	Workspace  string `json:"workspace"`
	Revision   uint64 `json:"revision"`
	// Told counts the entries that confirmed the withdrawal directly.
	Told   int `json:"told"`
	Listed int `json:"listed"`
}

// NotRecordedError reports a withdrawal that reached entries but not the
// store.
type NotRecordedError struct {
	Identifier string
	Told       int
	Cause      error
}

// Error implements the error interface.
func (e *NotRecordedError) Error() string {
	return fmt.Sprintf("withdrawal of key %q reached %d entries but is not recorded in the store, run it again: %v",
		e.Identifier, e.Told, e.Cause)
}

// Unwrap returns the cause.
func (e *NotRecordedError) Unwrap() error { return e.Cause }

// Run tells the entries that can be reached, then publishes a tombstone.
func (k *KeyWithdraw) Run(e *Environment) error {
	ctx := context.Background()
	p := e.publisher()
	token, err := p.FindWithdrawalToken(ctx, k.Identifier)
	if err != nil {
		return err
	}
	out := withdrawn{Identifier: k.Identifier, Workspace: token.Workspace}
	if len(token.Token) > 0 {
		out.Told, out.Listed = e.push(ctx, spread.Withdrawal{Identifier: k.Identifier, Token: token.Token})
	}
	out.Revision, err = p.WithdrawKey(ctx, token.Workspace, k.Identifier)
	if err != nil && out.Told > 0 {
		return &NotRecordedError{Identifier: k.Identifier, Told: out.Told, Cause: err}
	}
	if err != nil {
		return err
	}
	return e.print(out, "key %s of workspace %q is withdrawn as of revision %d; %d of %d entries were told directly",
		k.Identifier, out.Workspace, out.Revision, out.Told, out.Listed)
}

// push tells all listed entries of a withdrawal and counts those that
// confirmed it.
func (e *Environment) push(ctx context.Context, w spread.Withdrawal) (told, listed int) {
	instances, err := e.list().Instances(ctx)
	if err != nil {
		return 0, 0
	}
	for _, answer := range askAll[spread.WithdrawReply](ctx, instances, spread.TypeWithdraw, w) {
		if answer.Err == nil && answer.Reply.Withdrawn {
			told++
		}
	}
	return told, len(instances)
}

// KeyList is "lovagectl key list".
type KeyList struct {
	Workspace string `arg:"" help:"Workspace whose keys to list."`
}

// Run lists identifiers and states, never keys.
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
